#include "chestnutstand/tenancy/quota_service.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace chestnutstand {
namespace {

/// Retry-After of requests that were refused because the owner does not answer. By then, the
/// members have mostly agreed on another one.
constexpr milliseconds fallback_retry_after{1'000};
/// Callers read 0 as permission to come back at once.
constexpr milliseconds min_retry_after{10};
/// A longer time says little about when tokens will be left.
constexpr milliseconds max_retry_after{5'000};
/// A request that passes through two nodes that are not ready takes up to three exchanges; each one
/// that it passes gets a part of the time.
constexpr double relay_timeout_share = 0.8;
/// Tokens that a new owner asks its predecessor for: all of them.
constexpr std::uint32_t all_tokens = 1U << 30U;

quota_verdict refused(milliseconds retry_after)
{
    return {false,
            reason_code::quota_exceeded,
            std::clamp(retry_after, min_retry_after, max_retry_after),
            {}};
}

quota_verdict admitted(const quota_credit& credit)
{
    return {true, reason_code::none, milliseconds{0}, credit};
}

std::optional<quota_reply> decided(const absl::StatusOr<quota_reply>& reply)
{
    return reply.ok() ? std::optional{*reply} : std::nullopt;
}

} // namespace

quota_service::quota_service(std::uint64_t self, quota_environment environment,
                             const snapshot<document>& in_force, metrics& stats)
    : self_{self}, environment_{std::move(environment)}, in_force_{in_force}, stats_{stats}
{
}

std::shared_ptr<const quota_service::limit_map> quota_service::current_limits()
{
    const auto document = in_force_.load();
    const std::lock_guard lock{limits_mutex_};
    if (!limits_ || limits_of_ != document) {
        auto limits = std::make_shared<limit_map>();
        if (document) {
            for (const tenant& limited : document->tenants) {
                if (limited.rate_per_s > 0.0) {
                    limits->emplace(limited.name, quota_limit{limited.rate_per_s, limited.burst});
                }
            }
        }
        limits_ = std::move(limits);
        limits_of_ = document;
    }
    return limits_;
}

quota_limit quota_service::limit_of(const std::string& tenant)
{
    const auto limits = current_limits();
    const auto found = limits->find(tenant);
    return found == limits->end() ? quota_limit{} : found->second;
}

bool quota_service::limits(const std::string& tenant)
{
    return !tenant.empty() && current_limits()->count(tenant) != 0U;
}

quota_service::entry& quota_service::entry_of(const std::string& tenant)
{
    return entries_.try_emplace(tenant, environment_.phase).first->second;
}

void quota_service::admit(const service_call& call, admit_done done)
{
    const quota_limit limit = limit_of(call.tenant);
    if (limit.rate_per_s <= 0.0) {
        done({true, reason_code::none, milliseconds{0}, {}});
        return;
    }
    const auto view = view_.load();
    const time_point now = environment_.now();
    effects todo;
    std::uint64_t waiter_id = 0;
    bool waits = false;
    {
        const std::lock_guard lock{entry_mutex_};
        entry& held = entry_of(call.tenant);
        held.stock.record_demand(now);
        // The requests that wait came first.
        const auto credit = held.waiting.empty() ? held.stock.take(now) : std::nullopt;
        if (credit) {
            todo.verdicts.emplace_back(std::move(done), admitted(*credit));
        }
        else if (const auto refill = held.stock.refused_for(now)) {
            todo.verdicts.emplace_back(std::move(done), refused(*refill));
        }
        else {
            waiter_id = next_waiter_++;
            waits = true;
            held.waiting.push_back({waiter_id, call.deadline, std::move(done)});
            if (held.stock.in_fallback()) {
                refuse_or_fall_back(held, limit, view ? view->known : 1, now, todo);
                waits = false;
            }
        }
        // A question is open already if others wait; the next one follows its reply.
        todo.question = held.stock.ask(held.waiting.size(), now);
    }
    if (waits && call.cancel) {
        call.cancel->on_cancel(
            [this, tenant = call.tenant, id = waiter_id] { withdraw(tenant, id); });
    }
    run(call.tenant, std::move(todo));
}

void quota_service::withdraw(const std::string& tenant, std::uint64_t id)
{
    admit_done done;
    {
        const std::lock_guard lock{entry_mutex_};
        const auto held = entries_.find(tenant);
        if (held == entries_.end()) {
            return;
        }
        auto& waiting = held->second.waiting;
        const auto found = std::find_if(waiting.begin(), waiting.end(),
                                        [id](const waiter& other) { return other.id == id; });
        if (found == waiting.end()) {
            return;
        }
        done = std::move(found->done);
        waiting.erase(found);
    }
    done({false, reason_code::caller_gone, milliseconds{0}, {}});
}

void quota_service::give_back(const std::string& tenant, const quota_credit& credit)
{
    const std::lock_guard lock{entry_mutex_};
    if (const auto held = entries_.find(tenant); held != entries_.end()) {
        held->second.stock.give_back(credit, environment_.now());
    }
}

void quota_service::run(const std::string& tenant, effects&& todo)
{
    for (auto& [done, verdict] : todo.verdicts) {
        done(verdict);
    }
    if (todo.question) {
        send_question(tenant, *todo.question);
    }
}

void quota_service::send_question(const std::string& tenant, std::uint32_t tokens)
{
    const auto view = view_.load();
    const auto document = in_force_.load();
    const quota_request request{tenant,
                                tokens,
                                document ? document->version : 0,
                                quota_request_kind::acquire,
                                self_,
                                view ? view->known : 0};
    const auto on_end = [this, tenant, tokens](const absl::StatusOr<quota_reply>& reply) {
        on_reply(tenant, tokens, decided(reply));
    };
    const auto chosen = view ? view->choose(tenant) : quota_view::choice{};
    if (!chosen.owner) {
        on_end(absl::UnavailableError("no member can own the quota"));
        return;
    }
    const auto on_first_reply = [this, request, on_end](const absl::StatusOr<quota_reply>& reply) {
        if (reply.ok() && !reply->decided) {
            ask_stand_in(request, on_end);
            return;
        }
        on_end(reply);
    };
    if (chosen.owner->instance == self_) {
        handle(request, on_first_reply);
        return;
    }
    stats_.counter("chestnutstand_quota_requests_total{kind=\"sent\"}")++;
    environment_.ask(*chosen.owner, request, quota_reply_timeout, on_first_reply);
}

// While the members disagree about the owner, the former one grants from its bucket, which
// the next one takes over.
void quota_service::ask_stand_in(quota_request request, peer_client::quota_done done)
{
    const auto view = view_.load();
    const auto chosen = view ? view->choose(request.tenant) : quota_view::choice{};
    if (!chosen.owner || !chosen.stand_in) {
        done(quota_reply{});
        return;
    }
    request.kind = quota_request_kind::relayed;
    request.sender = chosen.owner->instance;
    if (chosen.stand_in->instance == self_) {
        handle(request, std::move(done));
        return;
    }
    stats_.counter("chestnutstand_quota_requests_total{kind=\"sent\"}")++;
    environment_.ask(*chosen.stand_in, request, quota_reply_timeout, std::move(done));
}

void quota_service::on_reply(const std::string& tenant, std::uint32_t asked,
                             const std::optional<quota_reply>& reply)
{
    const quota_limit limit = limit_of(tenant);
    const auto view = view_.load();
    const time_point now = environment_.now();
    effects todo;
    bool fell_back = false;
    {
        const std::lock_guard lock{entry_mutex_};
        entry& held = entry_of(tenant);
        const bool was_in_fallback = held.stock.in_fallback();
        held.stock.on_reply(reply, now);
        fell_back = held.stock.in_fallback() && !was_in_fallback;
        while (!held.waiting.empty()) {
            const auto credit = held.stock.take(now);
            if (!credit) {
                break;
            }
            todo.verdicts.emplace_back(std::move(held.waiting.front().done), admitted(*credit));
            held.waiting.pop_front();
        }
        if (held.stock.in_fallback()) {
            refuse_or_fall_back(held, limit, view ? view->known : 1, now, todo);
        }
        else if (reply->granted < asked) {
            for (waiter& last : held.waiting) {
                todo.verdicts.emplace_back(std::move(last.done), refused(reply->retry_after));
            }
            held.waiting.clear();
        }
        todo.question = held.stock.ask(held.waiting.size(), now);
    }
    if (fell_back) {
        const auto chosen = view ? view->choose(tenant) : quota_view::choice{};
        log_event(log_level::warning, "quota owner does not answer",
                  {{"tenant", tenant},
                   {"owner",
                    chosen.owner ? absl::StrCat(absl::Hex(chosen.owner->instance)) : std::string{}},
                   {"members_seen", std::uint64_t{view ? view->seen : 0}},
                   {"members_known", std::uint64_t{view ? view->known : 0}}});
    }
    run(tenant, std::move(todo));
}

void quota_service::refuse_or_fall_back(entry& held, const quota_limit& limit,
                                        std::uint32_t members, time_point now, effects& todo)
{
    for (waiter& next : held.waiting) {
        const auto credit = held.stock.take_fallback(limit, members, now);
        count_fallback(credit.has_value());
        todo.verdicts.emplace_back(std::move(next.done),
                                   credit ? admitted(*credit) : refused(fallback_retry_after));
    }
    held.waiting.clear();
}

void quota_service::count_fallback(bool admitted)
{
    stats_.counter(admitted ? "chestnutstand_quota_fallbacks_total{end=\"admitted\"}"
                            : "chestnutstand_quota_fallbacks_total{end=\"refused\"}")++;
}

void quota_service::handle(const quota_request& request, peer_client::quota_done done)
{
    if (request.sender != self_) {
        stats_.counter("chestnutstand_quota_requests_total{kind=\"received\"}")++;
    }
    decide(request, std::make_shared<peer_client::quota_done>(std::move(done)));
}

void quota_service::decide(const quota_request& request,
                           const std::shared_ptr<peer_client::quota_done>& done)
{
    const auto view = view_.load();
    if (!view) {
        (*done)(quota_reply{});
        return;
    }
    quota_decision decision;
    {
        const std::lock_guard lock{owner_mutex_};
        decision = owner_.decide(request, *view, limit_of(request.tenant), environment_.now());
        if (decision.next == quota_decision::action::take_over) {
            auto& waiting = waiting_for_take_over_[request.tenant];
            waiting.emplace_back(request, done);
            if (waiting.size() > 1) {
                return;
            }
        }
    }
    switch (decision.next) {
    case quota_decision::action::reply:
        if (decision.reply.granted > 0) {
            stats_.counter("chestnutstand_quota_tokens_granted_total") += decision.reply.granted;
        }
        decision.reply.members_known = view->known;
        (*done)(decision.reply);
        break;
    case quota_decision::action::relay: {
        quota_request relayed = request;
        relayed.kind = quota_request_kind::relayed;
        relayed.sender = self_;
        stats_.counter("chestnutstand_quota_requests_total{kind=\"relayed\"}")++;
        environment_.ask(decision.peers[0], relayed, quota_reply_timeout * relay_timeout_share,
                         [done](const absl::StatusOr<quota_reply>& reply) {
                             (*done)(reply.ok() ? *reply : quota_reply{});
                         });
        break;
    }
    case quota_decision::action::take_over:
        take_over(request, decision.peers);
        break;
    }
}

void quota_service::take_over(const quota_request& request,
                              const std::vector<node_reference>& predecessors)
{
    /// Replies of the predecessors. The first that had the bucket, or the last one, ends the
    /// take-over.
    struct collection {
        std::mutex mutex;
        std::size_t missing = 0;
        bool failed = false;
        bool ended = false;
    };
    quota_request question = request;
    question.kind = quota_request_kind::take_over;
    question.sender = self_;
    question.tokens = all_tokens;
    const auto replies = std::make_shared<collection>();
    replies->missing = predecessors.size();
    for (const node_reference& predecessor : predecessors) {
        environment_.ask(predecessor, question, quota_reply_timeout * relay_timeout_share,
                         [this, replies, tenant = request.tenant](const auto& reply) {
                             if (reply.ok()) {
                                 const std::lock_guard lock{owner_mutex_};
                                 owner_.report_members(reply->members_known, environment_.now());
                             }
                             {
                                 const std::lock_guard lock{replies->mutex};
                                 replies->failed = replies->failed || !reply.ok();
                                 const bool found = reply.ok() && reply->decided;
                                 if ((--replies->missing > 0 && !found) || replies->ended) {
                                     return;
                                 }
                                 replies->ended = true;
                             }
                             // The node that had the bucket may be one that did not reply.
                             finish_take_over(tenant,
                                              reply.ok() && (reply->decided || !replies->failed)
                                                  ? std::optional{*reply}
                                                  : std::nullopt);
                         });
    }
}

void quota_service::finish_take_over(const std::string& tenant,
                                     const std::optional<quota_reply>& reply)
{
    const auto view = view_.load();
    std::vector<pending_request> waiting;
    {
        const std::lock_guard lock{owner_mutex_};
        owner_.on_taken_over(tenant, reply, *view, limit_of(tenant), environment_.now());
        waiting = std::move(waiting_for_take_over_[tenant]);
        waiting_for_take_over_.erase(tenant);
    }
    stats_.counter(reply ? "chestnutstand_quota_take_overs_total{end=\"replied\"}"
                         : "chestnutstand_quota_take_overs_total{end=\"failed\"}")++;
    log_event(log_level::info, "quota taken over",
              {{"tenant", tenant},
               {"replied", reply.has_value()},
               {"tokens", std::uint64_t{reply ? reply->granted : 0}}});
    for (const auto& [request, done] : waiting) {
        decide(request, done);
    }
}

void quota_service::set_view(std::shared_ptr<const quota_view> view)
{
    view_.store(std::move(view));
}

void quota_service::drop_idle()
{
    const time_point now = environment_.now();
    {
        const std::lock_guard lock{owner_mutex_};
        owner_.drop_idle(now);
    }
    const std::lock_guard lock{entry_mutex_};
    std::erase_if(entries_, [now](const auto& held) {
        return held.second.waiting.empty() && held.second.stock.idle(now);
    });
}

} // namespace chestnutstand
