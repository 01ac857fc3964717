#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/kernel.h"
#include "chestnutstand/node/key_router.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds ended_check_interval{500};
/// A member that has been dead for this long counts as ended. It is unlikely to be only paused
/// then, and if it is, the unknown outcome that its callers get is still correct.
constexpr milliseconds dead_time_limit{60'000};

using instance_set = std::set<std::uint64_t>;

/// Makes the executor of this process available as a candidate for keyed calls.
class local_candidate final : public key_executor {
public:
    explicit local_candidate(kernel& node)
        : instance_{node.instance()}, executor_{node.get<executor>()},
          keys_{node.get<executor_keys>()}
    {
    }

    void execute(const service_call& call, call_done done) override
    {
        executor_.execute(instance_, call, done);
    }
    void settle(const std::string& key, peer_client::settle_done done) override
    {
        done(keys_.settle(key, ms_clock::now()));
    }

private:
    std::uint64_t instance_;
    executor& executor_;
    executor_keys& keys_;
};

/// Provides the router, the owner and the settlement of idempotency keys.
class keys_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"dispatcher", "executor", "membership", "node_endpoint"};
    }

    absl::Status start(kernel& node) override
    {
        // Routes define which requests must not be repeated; request ids replace issued keys there.
        if (node.config().interface_for_callers == caller_interface::routes) {
            return absl::OkStatus();
        }
        ended_instances_.store(std::make_shared<instance_set>());
        local_candidate_ = std::make_unique<local_candidate>(node);
        const candidate_client candidates{node.instance(), node.peers(), *local_candidate_};
        const std::string& secret = node.config().cluster_secret;
        const key_owner_options options{
            {node.instance(), node.config().advertised_address, node.ports().node}, secret, {}, {}};
        owner_ =
            std::make_shared<key_owner>(options, candidates, selection(node), environment(node));
        router_ = std::make_shared<key_router>(node.instance(), secret, node.peers(), owner_,
                                               std::make_shared<key_settlement>(secret, candidates,
                                                                                environment(node),
                                                                                settle_timing{}));
        node.provide(*router_);
        node.control().repeat(ended_check_interval,
                              [this, &node] { update_ended_instances(node); });
        return absl::OkStatus();
    }

    void stop(kernel& /*node*/) override
    {
        if (owner_) {
            owner_->stop();
        }
    }

private:
    key_environment environment(kernel& node) const
    {
        return {[] { return ms_clock::now(); },
                [&node](milliseconds delay, std::function<void()> work) {
                    node.control().post_after(delay, std::move(work));
                },
                [this](const node_reference& candidate) {
                    return ended_instances_.load()->count(candidate.instance) != 0U;
                }};
    }

    candidate_selection selection(kernel& node) const
    {
        auto& dispatch = node.get<dispatcher>();
        return {[&dispatch](const std::string& service) {
                    return dispatch.choose_distinct(service, "", max_key_candidates);
                },
                [this, &dispatch](const service_call& call, std::vector<node_reference> untried) {
                    const auto ended = ended_instances_.load();
                    untried.erase(std::remove_if(untried.begin(), untried.end(),
                                                 [&](const auto& candidate) {
                                                     return ended->count(candidate.instance) != 0U;
                                                 }),
                                  untried.end());
                    return dispatch.rank(call.service, call.priority, std::move(untried));
                }};
    }

    /// Records the instances that have left, were replaced by a new process at the same address, or
    /// have been dead for dead_time_limit. Runs on the control thread.
    void update_ended_instances(kernel& node)
    {
        const time_point now = ms_clock::now();
        std::map<std::pair<std::string, std::uint16_t>, std::uint64_t> alive;
        const auto members = node.get<membership>().members();
        for (const member& peer : members) {
            if (peer.state == liveness::alive) {
                alive[{peer.node.address, peer.node.node_port}] = peer.node.instance;
                dead_since_.erase(peer.node.instance);
            }
        }
        auto ended = std::make_shared<instance_set>(*ended_instances_.load());
        for (const member& peer : members) {
            if (peer.state == liveness::alive || peer.state == liveness::suspect) {
                continue;
            }
            const auto since = dead_since_.try_emplace(peer.node.instance, now).first->second;
            if (peer.state == liveness::left || now - since >= dead_time_limit ||
                alive.count({peer.node.address, peer.node.node_port}) != 0U) {
                ended->insert(peer.node.instance);
            }
        }
        ended_instances_.store(std::move(ended));
    }

    std::unique_ptr<local_candidate> local_candidate_;
    std::shared_ptr<key_owner> owner_;
    std::shared_ptr<key_router> router_;
    snapshot<instance_set> ended_instances_;
    std::map<std::uint64_t, time_point> dead_since_;
};

const registration<keys_component, component> registered{"keys"};

} // namespace
} // namespace chestnutstand
