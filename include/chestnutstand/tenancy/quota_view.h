#pragma once

#include "chestnutstand/membership/member.h"
#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Age from which a view must not be used: the process was paused, and others may have replaced it
/// as owner. Less than the 4 s after which members declare a silent one dead.
inline constexpr milliseconds max_quota_view_age{3'000};

/// What a node knows of the members when it decides who owns the quota of a tenant. Immutable once
/// published.
struct quota_view {
    struct live_member {
        node_reference node;
        bool draining = false;
        bool suspect = false;

        friend bool operator==(const live_member&, const live_member&) = default;
    };
    /// Member that was declared dead and that no process at the same address has replaced. It may
    /// still run behind a partition.
    struct lost_member {
        std::uint64_t instance = 0;
        time_point since;

        friend bool operator==(const lost_member&, const lost_member&) = default;
    };
    struct choice {
        /// Nothing if no member can be the owner.
        std::optional<node_reference> owner;
        /// Member that would be the owner without it. It grants until a new owner is ready.
        std::optional<node_reference> stand_in;
        /// Members that may have been the owner until now.
        std::vector<node_reference> predecessors;
        /// Time until which a lost former owner may still grant.
        time_point earliest_grant;
    };

    std::uint64_t self = 0;
    time_point updated;
    /// Time of the last change of the live members.
    time_point changed;
    /// Whether this node has joined and hears other members. It grants nothing otherwise.
    bool settled = false;
    std::vector<live_member> live;
    std::vector<lost_member> lost;
    /// Addresses of live members without suspects and without those that were lost until some
    /// seconds ago.
    std::uint32_t seen = 0;
    /// Addresses of live and lost members, after the start also of recorded ones.
    std::uint32_t known = 0;

    /// Chooses the owner of a tenant by rendezvous hashing over the members that do not drain.
    choice choose(const std::string& tenant) const;

private:
    friend class quota_view_tracker;

    /// Choices of all views with the same members; hashing all members takes long.
    struct choice_cache {
        std::mutex mutex;
        std::unordered_map<std::string, choice> choices;
    };

    choice compute_choice(const std::string& tenant) const;
    milliseconds loss_delay(const lost_member& lost_owner) const;

    std::shared_ptr<choice_cache> cache_ = std::make_shared<choice_cache>();
};

/// Builds the view from the member list. Pure: the time is an argument.
class quota_view_tracker {
public:
    quota_view_tracker(std::uint64_t self, time_point started)
        : self_{self}, started_{started}, settling_since_{started}
    {
    }

    /// `silence` is the time since the last message of another member, `recorded` the number of
    /// addresses in the member directory.
    std::shared_ptr<const quota_view> update(const std::vector<member>& members,
                                             milliseconds silence, std::size_t recorded,
                                             time_point now);

private:
    std::uint64_t self_;
    time_point started_;
    time_point settling_since_;
    time_point changed_;
    std::vector<std::pair<std::uint64_t, bool>> live_;
    std::shared_ptr<const quota_view> last_;
    std::unordered_map<std::uint64_t, time_point> lost_since_;
    /// When lost members were seen again.
    std::unordered_map<std::uint64_t, time_point> returned_;
};

} // namespace chestnutstand
