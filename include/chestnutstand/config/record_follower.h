#pragma once

#include "chestnutstand/config/configuration.h"
#include "chestnutstand/config/keyed_store.h"
#include "chestnutstand/support/control_loop.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chestnutstand {

struct record_follower_options {
    std::uint64_t random_seed = 0;
    /// Longest time that one read of the store waits for a record.
    milliseconds read_wait{20'000};
    milliseconds fetch_timeout{500};
    /// Pause after a failed read; doubled with each further failure up to the longest.
    milliseconds initial_backoff{250};
    milliseconds max_backoff{2'000};
};

/// Follows a document that its operator keeps whole in one record of the store: the newest record
/// at the start, then, while this node is a reader, one long read after the other. The others take
/// newer documents from peers. The position of a document is its version. A
/// record that cannot be read, or with a version that is not higher, leaves the document in force.
class record_follower final : public configuration {
public:
    record_follower(record_follower_options options, control_loop& loop, keyed_store& store,
                    peer_client& peers);
    ~record_follower() override;

    void start() override;
    const snapshot<document>& current() const override { return current_; }
    void on_advance(std::function<void(std::uint64_t position)> listener) override;
    void set_tailing(bool tailing) override;
    std::size_t wanted_readers() const override;
    void hint(const node_reference& peer, std::uint64_t position) override;
    fetched_changes handle_fetch(std::uint64_t position) const override;

private:
    void read();
    void finish_read(const absl::StatusOr<keyed_page>& page);
    void schedule_read(milliseconds delay);
    void update_store_state(const absl::Status& status);
    bool apply(const std::string& text, const char* source);
    void fetch();
    void finish_fetch(const node_reference& peer, const absl::StatusOr<fetched_changes>& changes);

    struct peer_hint {
        node_reference peer;
        std::uint64_t position = 0;
    };

    const record_follower_options options_;
    control_loop& loop_;
    keyed_store& store_;
    peer_client& peers_;
    std::mt19937_64 random_;
    snapshot<document> current_;
    std::uint64_t version_ = 0;
    /// The record that made the document in force, for peers.
    std::string record_text_;
    std::vector<std::function<void(std::uint64_t)>> listeners_;
    bool tailing_ = false;
    bool reading_ = false;
    /// Offset of the next long read; nothing when the newest record has to be read first.
    std::optional<std::uint64_t> next_offset_;
    milliseconds backoff_{0};
    bool store_reachable_ = true;
    /// From different peers, so that one that does not answer is not the only one.
    std::vector<peer_hint> hints_;
    bool fetching_ = false;
    /// A peer that has a newer document could not be asked for it; the store is read instead.
    bool peer_fetch_failed_ = false;
};

} // namespace chestnutstand
