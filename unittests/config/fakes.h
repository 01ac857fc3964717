#pragma once

#include "chestnutstand/config/config_service.h"
#include "chestnutstand/config/log_client.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/transport/peer_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Log service in memory with faults that can be injected. Thread-safe.
class fake_log : public log_client {
public:
    enum class append_fault { none, refused, response_lost, request_lost };

    void append(const std::string& /*stream*/, std::string payload, append_done done) override
    {
        std::unique_lock lock{mutex_};
        ++appends_;
        if (down_ || fault_ == append_fault::refused) {
            lock.unlock();
            done(absl::UnavailableError("no connection to the log service"));
            return;
        }
        const auto fault = std::exchange(fault_, append_fault::none);
        if (fault != append_fault::request_lost) {
            records_.push_back(std::move(payload));
        }
        const std::uint64_t offset = records_.size() - 1;
        lock.unlock();
        fault == append_fault::none ? done(offset)
                                    : done(absl::DeadlineExceededError("no answer in time"));
    }

    void read(const std::string& /*stream*/, std::uint64_t from, std::uint32_t limit,
              read_done done) override
    {
        std::unique_lock lock{mutex_};
        if (down_) {
            lock.unlock();
            done(absl::UnavailableError("no connection to the log service"));
            return;
        }
        log_page page{first_, records_.size(), {}};
        for (auto i = std::max(from, first_); i < records_.size() && page.records.size() < limit;
             ++i) {
            page.records.push_back({i, age_, records_[i]});
        }
        records_read_ += page.records.size();
        lock.unlock();
        done(page);
    }

    void set_down(bool down) { set(down_, down); }
    void set_next_append(append_fault fault) { set(fault_, fault); }
    void set_age(milliseconds age) { set(age_, age); }
    void expire_before(std::uint64_t first) { set(first_, first); }
    std::size_t append_count() const { return get(appends_); }
    std::size_t records_read() const { return get(records_read_); }
    std::vector<std::string> records() const { return get(records_); }

private:
    template <typename T>
    void set(T& member, T value)
    {
        const std::lock_guard lock{mutex_};
        member = value;
    }
    template <typename T>
    T get(const T& member) const
    {
        const std::lock_guard lock{mutex_};
        return member;
    }

    mutable std::mutex mutex_;
    std::vector<std::string> records_;
    std::uint64_t first_ = 0;
    milliseconds age_{0};
    bool down_ = false;
    append_fault fault_ = append_fault::none;
    std::size_t appends_ = 0;
    std::size_t records_read_ = 0;
};

/// Passes fetches on to the handlers of the other fake nodes; all other calls are ignored.
class fake_peers : public peer_client {
public:
    using fetch_handler = std::function<void(std::uint64_t, changes_done)>;

    void execute(const node_reference&, const service_call&, call_done) override {}
    void forward(const node_reference&, const service_call&, bool, call_done) override {}
    void settle(const node_reference&, const std::string&, milliseconds, settle_done) override {}
    void probe(const node_reference&, milliseconds, probe_done) override {}
    void sync_members(const node_reference&, std::vector<std::string>, milliseconds,
                      members_done) override
    {
    }
    void fetch_changes(const node_reference& target, const fetch_request& request, milliseconds,
                       changes_done done) override
    {
        fetch_handler handler;
        {
            const std::lock_guard lock{mutex_};
            handler = handlers_[target.instance];
            if (request.read_source) {
                source_requests_.push_back(request);
            }
        }
        if (!handler) {
            done(absl::UnavailableError("no such peer"));
            return;
        }
        handler(request.from_offset, std::move(done));
    }

    void add(std::uint64_t instance, fetch_handler handler)
    {
        const std::lock_guard lock{mutex_};
        handlers_[instance] = std::move(handler);
    }

    /// Requests to read the source that peers have got.
    std::vector<fetch_request> source_requests()
    {
        const std::lock_guard lock{mutex_};
        return source_requests_;
    }

private:
    std::mutex mutex_;
    std::map<std::uint64_t, fetch_handler> handlers_;
    std::vector<fetch_request> source_requests_;
};

/// Waits until a condition holds; returns false when it does not within 30 s.
template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 6000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
}

/// A configuration service with its own control thread.
class fake_node {
public:
    fake_node(config_options options, fake_log& log, fake_peers& peers)
        : reference_{options.instance, "127.0.0.1", 1}, service_{std::make_unique<config_service>(
                                                            options, loop_, log, peers)}
    {
        // Posts without waiting for the result: two nodes that fetch from each other would
        // deadlock.
        peers.add(options.instance,
                  [this](std::uint64_t from, const peer_client::changes_done& done) {
                      loop_.post([this, from, done] { done(service_->handle_fetch({from})); });
                  });
        on_loop([&] {
            service_->on_advance(
                [this](std::uint64_t) { versions_.push_back(document_version()); });
            service_->start();
            return true;
        });
    }
    fake_node(const fake_node&) = delete;
    fake_node& operator=(const fake_node&) = delete;
    ~fake_node()
    {
        loop_.stop();
        EXPECT_TRUE(std::is_sorted(versions_.begin(), versions_.end())) << "a version decreased";
    }

    template <typename Work>
    auto on_loop(Work work) -> decltype(work())
    {
        std::promise<decltype(work())> result;
        loop_.post([&] { result.set_value(work()); });
        return result.get_future().get();
    }

    void tail()
    {
        on_loop([&] {
            service_->set_reader_role(reader_role::lead);
            return true;
        });
    }
    void hint(const fake_node& peer, std::uint64_t next_offset)
    {
        on_loop([&] {
            service_->hint(peer.reference_, next_offset);
            return true;
        });
    }
    std::future<absl::StatusOr<publish_verdict>> publish(section_change change)
    {
        auto result = std::make_shared<std::promise<absl::StatusOr<publish_verdict>>>();
        loop_.post([this, result, change = std::move(change)] {
            service_->publish(change, [result](auto verdict) { result->set_value(verdict); });
        });
        return result->get_future();
    }
    config_service& service() { return *service_; }
    const node_reference& reference() const { return reference_; }
    std::uint64_t next_offset()
    {
        return on_loop([&] { return service_->next_offset(); });
    }
    config_state state()
    {
        return on_loop([&] { return service_->state(); });
    }
    std::uint64_t document_version() const
    {
        const auto document = service_->current().load();
        return document ? document->version : 0;
    }

private:
    node_reference reference_;
    std::vector<std::uint64_t> versions_;
    control_loop loop_;
    std::unique_ptr<config_service> service_;
};

} // namespace chestnutstand
