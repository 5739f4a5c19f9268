// Fleet membership: probes, suspicion, incarnations and gossip.
// Runs on the control thread only.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "core/placement/evacuations.hpp"
#include "core/routing/upstream.hpp"
#include "ports/control_actions.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

template <>
struct enum_names<member_state>
{
    static constexpr std::array<std::pair<member_state, std::string_view>, 4>
        table{
            {{member_state::alive, "alive"},
             {member_state::suspect, "suspect"},
             {member_state::dead, "dead"},
             {member_state::left, "left"}}};
};

struct member
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    data_centre_id data_centre = data_centre_id::none;
    member_state state = member_state::alive;
    // Orders reports about one incarnation; the member itself increments it to
    // refute a suspicion.
    std::uint32_t refutation = 0;
    // Local time of the last message received from the host itself; zero if
    // none.
    time_point last_contact_at{};
    // The current configuration revision of the host, from its last message.
    std::uint64_t revision = 0;
    // When the current state was recorded.
    time_point changed_at{};
    upstream_record upstream;
};

// The state of the link to another data centre, from messages received by this
// node and contact times reported by members.
struct data_centre_link
{
    time_point last_contact_at{};
    bool reachable = true;
};

struct membership_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    std::string data_centre_name;
    // Addresses for joining, in addition to those listed in the platform.
    std::vector<host_id> seeds;
    duration probe_interval = 500ms;
    duration probe_timeout = 200ms;
    duration suspicion_time = 3s;
    std::uint32_t indirect_probes = 3;
    // Between two gossip rounds; no messages are sent without updates.
    duration gossip_interval = 150ms;
    std::uint32_t gossip_fanout = 3;
    // Between two probes of other data centres.
    duration remote_probe_interval = 1s;
    // A data centre without a message for this duration is unreachable and gets
    // no requests.
    duration data_centre_timeout = 8s;
    // Between two digest exchanges; increased by 4 ms per member.
    duration digest_interval = 10s;
    // Between two probes of members in state dead.
    duration dead_probe_interval = 3s;
    // How long dead and departed members are kept as tombstones.
    duration tombstone_retention = 10min;
    // Bytes of updates per second, in addition to the probes.
    double gossip_bytes_per_second = 3000.0;
    // Number of members of each data centre with a seed entry in the platform.
    std::uint32_t seed_count = 3;
    duration seed_lease_time = 30s;
};

// The probe in progress; there is at most one.
struct probe
{
    host_id target = host_id::none;
    std::uint64_t sequence = 0;
    time_point indirect_at{};
    time_point fails_at{};
    bool indirect_sent = false;
};

// A probe relayed for another member.
struct relayed_probe
{
    host_id origin = host_id::none;
    std::uint64_t origin_sequence = 0;
    time_point expires_at{};
};

// A change that is still to be sent to other members.
struct queued_update
{
    std::uint32_t transmissions = 0;
    // The upstream is sent in addition to the member's state.
    bool includes_upstream = false;
};

enum class seed_phase : std::uint8_t
{
    idle,
    listing,
    granting,
    writing,
    renewing,
    revoking
};

// Discovery by the platform: listing seed entries and publishing this node's
// entry. `phase` is the call in progress.
struct seed_state
{
    seed_phase phase = seed_phase::idle;
    std::uint64_t call_id = 0;
    // When the call in progress times out.
    time_point call_expires_at{};
    time_point next_list_at{};
    time_point next_lease_at{};
    std::uint64_t lease = 0;
    // Whether the entry has been written under the lease.
    bool published = false;
    // Lists answered since the start. A number of them is required before this
    // node publishes its entry.
    std::uint32_t lists_done = 0;
    // Entries of other hosts in the last list.
    std::size_t others_listed = 0;
    std::uint32_t failures = 0;
    std::uint64_t entry_version = 0;
    // When the next seed address of the settings is contacted.
    time_point next_address_at{};
    time_point next_check_at{};
};

// Hosts that messages can be sent to, derived from the table of members.
struct member_targets
{
    // Up to date if equal to membership_state::targets_version.
    std::uint64_t version = 0;
    std::vector<host_id> local;
    std::map<data_centre_id, std::vector<host_id>> remote;
    std::vector<host_id> local_dead;
};

struct membership_timers
{
    time_point probe{};
    time_point gossip{};
    time_point remote_probe{};
    time_point digest{};
    time_point dead_probe{};
    time_point cleanup{};
};

constexpr std::size_t digest_bucket_count = 256;

struct membership_state
{
    membership_settings settings;
    incarnation self_incarnation = 0;
    upstream_record local_upstream;
    // All members except this host.
    std::map<host_id, member> members;
    // Incremented when a member or its upstream changes.
    std::uint64_t version = 0;
    bool leaving = false;

    // The current configuration revision of this node; set by the owner, sent
    // with each message.
    std::uint64_t own_revision = 0;
    // The latest reported time at which any node read the newest revision from
    // the platform; zero if none.
    time_point platform_read_at{};
    // The highest revision reported by a member, and that member.
    std::uint64_t highest_revision = 0;
    host_id highest_revision_host = host_id::none;
    // Other data centres.
    std::map<data_centre_id, data_centre_link> data_centres;
    // The evacuated data centres; set by the owner, sent with each message.
    evacuation_list own_evacuations;
    // The newest list that a member has sent.
    evacuation_list received_evacuations;

    // Private to the membership code.
    std::uint32_t self_refutation = 0;
    std::map<host_id, queued_update> updates;
    std::map<host_id, time_point> suspects;
    std::array<std::uint32_t, digest_bucket_count> digest{};
    std::uint64_t targets_version = 1;
    member_targets targets;
    std::vector<host_id> probe_order;
    std::uint64_t next_sequence = 1;
    std::optional<probe> active_probe;
    // When probes were sent, by their sequence; kept for as long as an ack may
    // come.
    std::map<std::uint64_t, time_point> sent_probes;
    std::map<std::uint64_t, relayed_probe> relays;
    membership_timers timers;
    seed_state seed;
    time_point started_at{};
    time_point last_tick{};
    double gossip_budget_bytes = 0.0;
};

void membership_start(
    membership_state& state, const membership_settings& settings,
    incarnation self, time_point now, random_source& random,
    control_actions& actions);
void membership_tick(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);
void membership_on_message(
    membership_state& state, const incoming_message& message, time_point now,
    random_source& random, control_actions& actions);
void membership_on_platform_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// Pings a member in addition to the regular probes. Its ack merges what it
// knows.
void membership_ping(
    membership_state& state, host_id host, time_point now,
    control_actions& actions);
// Sends a member this node's revision and evacuations.
void membership_notify(
    membership_state& state, host_id host, time_point now,
    control_actions& actions);

// The platform has begun a new era: the lease and the entry of this node are
// gone.
void membership_begin_era(
    membership_state& state, time_point now, random_source& random);

// Returns when membership_tick is due next.
[[nodiscard]] time_point membership_due(const membership_state& state);

// Records a change of the local upstream and sends it to members at once.
void membership_set_upstream(
    membership_state& state, const upstream_record& record, time_point now,
    random_source& random, control_actions& actions);

// Announces to the fleet that this host is leaving. It still answers probes.
void membership_leave(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// Returns all upstreams that can get requests, including the local one.
// Excluded are those of suspected, dead or departed members and of unreachable
// data centres.
[[nodiscard]] std::vector<upstream_location>
membership_upstreams(const membership_state& state);

// Returns the `count` members of this node's data centre, including itself,
// that rank first by rendezvous hashing under `salt`. They do a task for the
// whole data centre. The members are those of the last tick.
[[nodiscard]] std::vector<host_id> rendezvous_members(
    const membership_state& state, std::string_view salt, std::size_t count);

// Whether this node is one of rendezvous_members().
[[nodiscard]] bool is_rendezvous_member(
    const membership_state& state, std::string_view salt, std::size_t count);

} // namespace cyclamenhold
