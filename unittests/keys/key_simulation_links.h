// Simulated connections between the processes of the cluster.

#pragma once

#include "key_simulation.h"

namespace chestnutstand::simulation {

struct cluster::invocation {
    process_ptr ingress;
    history::call_record record;
    std::size_t results = 0;
};

class cluster::executor : public key_executor {
public:
    executor(cluster& parent, std::weak_ptr<process> self) : parent_{parent}, self_{std::move(self)}
    {
    }

    void execute(const service_call& call, call_done done) override
    {
        parent_.receive_call(self_.lock(), call, done);
    }
    void settle(const std::string& key, peer_client::settle_done done) override
    {
        done(parent_.receive_settle(*self_.lock(), key));
    }

private:
    cluster& parent_;
    std::weak_ptr<process> self_;
};

class cluster::peers : public peer_client {
public:
    peers(cluster& parent, std::weak_ptr<process> self) : parent_{parent}, self_{std::move(self)} {}

    void execute(const node_reference& target, const service_call& call, call_done done) override;
    void forward(const node_reference& owner, const service_call& call, bool query_only,
                 call_done done) override;
    void settle(const node_reference& executor, const std::string& key, milliseconds timeout,
                settle_done done) override;
    void probe(const node_reference&, milliseconds, probe_done) override {}
    void fetch_changes(const node_reference&, const fetch_request&, milliseconds,
                       changes_done) override
    {
    }
    void sync_members(const node_reference&, std::vector<std::string>, milliseconds,
                      members_done) override
    {
    }

private:
    /// Returns a callback that delivers a reply as a message of its own, which may be delayed or
    /// reordered.
    template <typename Result>
    static std::function<void(Result)> as_message(cluster& parent, std::function<void(Result)> done)
    {
        return [&parent, done = std::move(done)](Result result) {
            parent.pending_.push_back([done, result = std::move(result)] { done(result); });
        };
    }
    std::function<bool()> liveness_check() const;

    cluster& parent_;
    std::weak_ptr<process> self_;
};

struct cluster::process {
    node_reference node;
    bool alive = true;
    std::unique_ptr<cluster::peers> peers;
    std::unique_ptr<cluster::executor> local;
    std::unique_ptr<executor_keys> keys;
    std::shared_ptr<key_owner> owner;
    std::shared_ptr<key_settlement> settlement;
};

} // namespace chestnutstand::simulation
