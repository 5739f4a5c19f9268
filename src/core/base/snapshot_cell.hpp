// Read-copy-update: one writer publishes immutable snapshots, and any number of
// threads read the newest one without locks.
#pragma once

#include <atomic>
#include <memory>

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace cyclamenhold
{

// Holds the newest snapshot of T. Only one thread may call `publish` and the
// destructor; any thread may call `read`.
template <class T>
class snapshot_cell
{
public:
    // Protects one snapshot from deletion. `publish` waits for all readers that
    // exist when it is called, so a reader must be short-lived and must not be
    // held across a suspension point of a coroutine.
    class reader
    {
    public:
        explicit reader(const snapshot_cell& cell)
        {
            urcu_bp_read_lock();
            value_ = cell.current_.load(std::memory_order_acquire);
        }
        ~reader()
        {
#if defined(__SANITIZE_THREAD__)
            __tsan_release(const_cast<T*>(value_));
#endif
            urcu_bp_read_unlock();
        }
        reader(const reader&) = delete;
        reader& operator=(const reader&) = delete;
        const T& operator*() const
        {
            return *value_;
        }
        const T* operator->() const
        {
            return value_;
        }

    private:
        const T* value_ = nullptr;
    };

    snapshot_cell() : current_(new T()) {}
    ~snapshot_cell()
    {
        delete current_.load(std::memory_order_relaxed);
    }
    snapshot_cell(const snapshot_cell&) = delete;
    snapshot_cell& operator=(const snapshot_cell&) = delete;

    [[nodiscard]] reader read() const
    {
        return reader(*this);
    }

    // Makes `next` the newest snapshot, waits until no reader can refer to the
    // previous one, and deletes that.
    void publish(std::unique_ptr<const T> next)
    {
        const T* const previous =
            current_.exchange(next.release(), std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(const_cast<T*>(previous));
#endif
        delete previous;
    }

private:
    std::atomic<const T*> current_;
};

} // namespace cyclamenhold
