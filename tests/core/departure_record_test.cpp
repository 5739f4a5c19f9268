// The record of the upstream processes that have left, in the platform's store.
#include "core/departures/departure_record.hpp"
#include "standin/key_value_store.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace cyclamenhold
{
namespace
{

// Node processes of one host, one after the other, and a store, on a virtual
// clock.
class departures : public testing::Test
{
protected:
    departures()
    {
        start();
    }

    void start()
    {
        record = departure_record{};
        ++caller;
        departures_start(record, make_host_id(0x0a000001, 7'000));
    }

    void leave(const departed_process& process)
    {
        add_departure(record, process);
    }

    void run_for(duration time)
    {
        const time_point end = now + time;
        while (now < end)
        {
            now += 5ms;
            control_actions actions;
            for (const auto& [to, reply] : store_poll(store, now))
            {
                if (to == caller)
                {
                    departures_on_platform_reply(
                        record, reply, now, random, actions);
                }
            }
            if (departures_due(record) <= now)
            {
                departures_tick(record, now, random, actions);
            }
            for (const auto& call : actions.platform_calls)
            {
                store_call(store, caller, call, now);
            }
        }
    }

    [[nodiscard]] bool knows(const departed_process& process) const
    {
        return has_departed(record, process.id, process.started_ms);
    }

    const departed_process leaver{"i-leaver", 1'000};
    key_value_store store;
    departure_record record;
    store_caller caller = 0;
    time_point now{100s};
    random_source random{1};
};

// A node process that started again took an announcement from before the
// departure of its upstream for a new one (DRAIN).
TEST_F(departures, are_known_to_the_next_process_of_the_node)
{
    run_for(100ms);
    leave(leaver);
    run_for(100ms);
    start();
    EXPECT_FALSE(knows(leaver));
    run_for(100ms);
    EXPECT_TRUE(knows(leaver));
    {
        SCOPED_TRACE("the same id with another start is another process");
        EXPECT_FALSE(knows({leaver.id, leaver.started_ms + 1}));
        EXPECT_FALSE(knows({"i-other", leaver.started_ms}));
    }
    {
        SCOPED_TRACE("the entry ends with its lease");
        run_for(departure_retention);
        EXPECT_TRUE(store.values.empty());
    }
}

// A departure that was acknowledged before the record was read, or while the
// store did not answer, must be written later.
TEST_F(departures, are_written_when_the_store_answers_again)
{
    run_for(100ms);
    store.faults.down = true;
    leave(leaver);
    run_for(5s);
    EXPECT_TRUE(store.values.empty());
    store.faults.down = false;
    run_for(4s);
    EXPECT_EQ(store.values.size(), 1U);
    {
        SCOPED_TRACE("also if the process has read nothing yet");
        start();
        const departed_process second{"i-second", 2'000};
        leave(second);
        run_for(100ms);
        start();
        run_for(100ms);
        EXPECT_TRUE(knows(leaver));
        EXPECT_TRUE(knows(second));
    }
}

TEST_F(departures, survive_lost_answers)
{
    run_for(100ms);
    store.faults.lose_next_answers = 3;
    leave(leaver);
    run_for(10s);
    const departed_process second{"i-second", 2'000};
    leave(second);
    run_for(1s);
    start();
    run_for(100ms);
    EXPECT_TRUE(knows(leaver));
    EXPECT_TRUE(knows(second));
}

TEST_F(departures, are_written_again_after_the_entry_has_expired)
{
    run_for(100ms);
    leave(leaver);
    run_for(departure_retention + 1s);
    ASSERT_TRUE(store.values.empty());
    const departed_process second{"i-second", 2'000};
    leave(second);
    run_for(1s);
    start();
    run_for(100ms);
    EXPECT_TRUE(knows(second));
}

TEST_F(departures, are_written_again_in_a_new_era)
{
    run_for(100ms);
    const store_copy copy = take_copy(store);
    leave(leaver);
    run_for(100ms);
    store_go_back(store, copy, now);
    departures_begin_era(record, now, random);
    run_for(1s);
    start();
    run_for(100ms);
    EXPECT_TRUE(knows(leaver));
}

TEST_F(departures, cost_few_calls_and_little_memory)
{
    run_for(10s);
    EXPECT_EQ(store_call_count(store), 1U);
    leave(leaver);
    leave(leaver);
    run_for(10s);
    EXPECT_EQ(store_call_count(store), 3U);
    for (std::uint64_t number = 0; number < 20; ++number)
    {
        leave({"i-next", 2'000 + number});
    }
    run_for(1s);
    EXPECT_EQ(record.departed.size(), max_departed_processes);
    EXPECT_TRUE(knows({"i-next", 2'019}));
    start();
    run_for(100ms);
    EXPECT_EQ(record.departed.size(), max_departed_processes);
    EXPECT_TRUE(knows({"i-next", 2'019}));
}

// Entries of other writers hold any bytes.
TEST_F(departures, skip_what_cannot_be_read)
{
    run_for(100ms);
    leave(leaver);
    run_for(100ms);
    ASSERT_EQ(store.values.size(), 1U);
    store.values.begin()->second.value =
        std::string("odd\n 5\n0 i-zero\n7 i-seven\n-1 i-x\n\0", 32);
    start();
    run_for(100ms);
    EXPECT_TRUE(knows({"i-seven", 7}));
    EXPECT_FALSE(knows({"i-zero", 0}));
}

} // namespace
} // namespace cyclamenhold
