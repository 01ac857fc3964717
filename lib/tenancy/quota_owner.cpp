#include "chestnutstand/tenancy/quota_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutstand {
namespace {

/// Partitions last minutes.
constexpr milliseconds report_retention{300'000};
/// Time until a take-over is tried again after one without a reply.
constexpr milliseconds take_over_interval{250};
/// A predecessor that is live and has not replied for this long does not grant either: requests
/// get no reply from it.
constexpr milliseconds take_over_limit{8'000};
/// Longer than the views of the members differ in calm.
constexpr milliseconds idle_limit{3'000};
/// Time in which gossip tells a former owner of its successor.
constexpr milliseconds ceded_memory{5'000};
constexpr milliseconds refusal_window{1'000};
constexpr double ms_per_s = 1'000.0;

quota_decision make_reply(quota_reply reply)
{
    return {quota_decision::action::reply, reply, {}};
}

quota_decision relay_to(const node_reference& peer)
{
    return {quota_decision::action::relay, {}, {peer}};
}

quota_decision undecided()
{
    return make_reply({0, milliseconds{0}, false});
}

} // namespace

/// Each side of a partition grants its share of the rate, so that all sides together grant it once.
quota_limit quota_owner::scale(const quota_limit& limit, const quota_view& view,
                               time_point now) const
{
    const bool has_report = reported_at_ + report_retention > now;
    const std::uint32_t known = std::max({view.known, has_report ? reported_known_ : 0U, 1U});
    const double share = std::min(1.0, static_cast<double>(view.seen) / known);
    // Below one token, a bucket would never grant.
    return {limit.rate_per_s * share, std::max(1.0, limit.burst * share)};
}

double quota_owner::saved_tokens(const quota_view& view, const quota_limit& limit,
                                 time_point now) const
{
    const quota_limit scaled = scale(limit, view, now);
    const time_point since = std::max(view.changed, cleared_at_);
    const milliseconds unchanged = std::max(milliseconds{0}, now - since);
    return std::min(scaled.burst, scaled.rate_per_s * unchanged.count() / ms_per_s);
}

quota_owner::bucket& quota_owner::start(const std::string& tenant, double tokens,
                                        const quota_view& view, const quota_limit& limit,
                                        time_point now)
{
    const quota_limit scaled = scale(limit, view, now);
    take_overs_.erase(tenant);
    bucket made{token_bucket{scaled.rate_per_s, scaled.burst, now}, now, 0, 0, now};
    made.tokens.add(tokens, now);
    return buckets_.insert_or_assign(tenant, made).first->second;
}

quota_reply quota_owner::grant(bucket& from, std::uint32_t wanted, const quota_limit& scaled,
                               time_point now)
{
    from.used = now;
    from.tokens.set_rate(scaled.rate_per_s, now);
    from.tokens.set_burst(scaled.burst, now);
    if (now - from.second_start >= refusal_window) {
        const bool adjacent = now - from.second_start < 2 * refusal_window;
        from.refused_before = adjacent ? from.refused : 0;
        from.refused = 0;
        from.second_start = now;
    }
    const std::uint32_t granted = from.tokens.take_up_to(wanted, now);
    if (granted == wanted) {
        return {granted, milliseconds{0}, true};
    }
    // Requests that were refused a moment ago come back as well and take tokens first.
    const double missing = static_cast<double>(wanted - granted) +
                           static_cast<double>(std::max(from.refused, from.refused_before));
    from.refused += wanted - granted;
    return {granted, from.tokens.time_until(missing, now), true};
}

void quota_owner::report_members(std::uint32_t known, time_point now)
{
    if (known >= reported_known_ || reported_at_ + report_retention <= now) {
        reported_known_ = known;
        reported_at_ = now;
    }
}

quota_decision quota_owner::decide(const quota_request& request, const quota_view& view,
                                   const quota_limit& limit, time_point now)
{
    if (now - view.updated > max_quota_view_age) {
        buckets_.clear();
        take_overs_.clear();
        cleared_at_ = now;
        return undecided();
    }
    report_members(request.members_known, now);
    if (limit.rate_per_s <= 0.0 && request.kind != quota_request_kind::take_over) {
        return make_reply({request.tokens, milliseconds{0}, true});
    }
    const auto chosen = view.choose(request.tenant);
    if (request.kind == quota_request_kind::take_over) {
        ceded_[request.tenant] = now;
        const auto found = buckets_.find(request.tenant);
        if (found == buckets_.end()) {
            return undecided();
        }
        const std::uint32_t left = found->second.tokens.take_up_to(request.tokens, now);
        buckets_.erase(found);
        return make_reply({left, milliseconds{0}, true});
    }
    if (!chosen.owner) {
        return undecided();
    }
    const bool owns = chosen.owner->instance == view.self;
    const bool is_relayed = request.kind == quota_request_kind::relayed;
    if (!view.settled) {
        const auto& next = owns ? chosen.stand_in : chosen.owner;
        return !next || is_relayed ? undecided() : relay_to(*next);
    }
    // Whoever holds the bucket grants until another node takes it over, whatever the views say.
    if (const auto held = buckets_.find(request.tenant); held != buckets_.end()) {
        return make_reply(grant(held->second, request.tokens, scale(limit, view, now), now));
    }
    // A new owner that has not settled relays to its stand-in, which grants until the take-over.
    const bool stands_in = is_relayed && chosen.owner->instance == request.sender &&
                           chosen.stand_in && chosen.stand_in->instance == view.self;
    if (owns || stands_in) {
        return decide_as_owner(request, view, chosen, limit, now);
    }
    return is_relayed ? undecided() : relay_to(*chosen.owner);
}

quota_decision quota_owner::decide_as_owner(const quota_request& request, const quota_view& view,
                                            const quota_view::choice& chosen,
                                            const quota_limit& limit, time_point now)
{
    const quota_limit scaled = scale(limit, view, now);
    if (now < chosen.earliest_grant) {
        return undecided();
    }
    const auto ceded = ceded_.find(request.tenant);
    if (ceded != ceded_.end() && view.changed <= ceded->second &&
        now - ceded->second < ceded_memory) {
        return undecided();
    }
    std::vector<node_reference> former = chosen.predecessors;
    if (chosen.owner->instance != view.self) {
        former.push_back(*chosen.owner);
        std::erase_if(former, [&](const auto& node) { return node.instance == view.self; });
    }
    if (former.empty()) {
        return make_reply(
            grant(start(request.tenant, saved_tokens(view, limit, now), view, limit, now),
                  request.tokens, scaled, now));
    }
    const auto [entry, is_new] = take_overs_.try_emplace(request.tenant, take_over{now, {}});
    if (!is_new && now - entry->second.failed < take_over_interval) {
        return undecided();
    }
    return {quota_decision::action::take_over, {}, std::move(former)};
}

void quota_owner::on_taken_over(const std::string& tenant, const std::optional<quota_reply>& reply,
                                const quota_view& view, const quota_limit& limit, time_point now)
{
    if (reply) {
        start(tenant, reply->decided ? reply->granted : saved_tokens(view, limit, now), view, limit,
              now);
        return;
    }
    const auto found = take_overs_.find(tenant);
    if (found == take_overs_.end()) {
        return;
    }
    if (now - found->second.started >= take_over_limit) {
        start(tenant, 0.0, view, limit, now);
        return;
    }
    found->second.failed = now;
}

void quota_owner::drop_idle(time_point now)
{
    std::erase_if(buckets_, [now](const auto& entry) {
        return now - entry.second.used > idle_limit && entry.second.tokens.full(now);
    });
    std::erase_if(ceded_, [now](const auto& entry) { return now - entry.second >= ceded_memory; });
    std::erase_if(take_overs_, [now](const auto& entry) {
        return now - entry.second.started > take_over_limit + idle_limit;
    });
}

} // namespace chestnutstand
