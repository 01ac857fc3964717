#pragma once

#include "chestnutstand/config/configuration.h"
#include "chestnutstand/config/deputy_search.h"
#include "chestnutstand/config/keyed_store.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/name_table.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

struct record_follower_options {
    std::uint64_t random_seed = 0;
    /// Waiting time of one long poll of a lead. With the time that the store's client adds to it, a
    /// lost response is noticed within 2 s, in which a change has to come into force.
    milliseconds lead_read_wait{1'000};
    /// Waiting time of one long poll of a standby.
    milliseconds standby_read_wait{20'000};
    /// Time that the store gets to answer a waiting read with a record that a peer already has.
    milliseconds lost_read_grace{1'000};
    /// Time limit of one fetch from a peer.
    milliseconds fetch_timeout{500};
    /// Time after the end of the waiting time of a poll, or after the start of another read, in
    /// which a lead expects the response before it asks other nodes to read the store.
    milliseconds overdue_after{250};
    /// Time for which a node reads the store after it has been asked to.
    milliseconds deputy_lease{3'000};
    /// Waiting time of a long poll while a peer waits for its end.
    milliseconds deputy_read_wait{100};
    deputy_search_options deputies;
    /// Shortest time between two fetches of the evacuations. Two nodes may differ for seconds after
    /// a rollback of the store.
    milliseconds evacuation_fetch_interval{200};
    /// Delay after a failed read; doubled with each further failure, up to the limit of the role.
    milliseconds initial_backoff{250};
    milliseconds max_lead_backoff{1'000};
    milliseconds max_standby_backoff{2'000};
};

/// How a read of the store ended.
enum class read_end : std::uint8_t {
    changed,
    unchanged,
    failed,
    abandoned, ///< Replaced by another read because its response is overdue or its wait too long.
};

inline constexpr name_table<read_end, 4> read_end_names{
    {"changed", "unchanged", "failed", "abandoned"}};

/// Follows a document that its operator keeps whole in one record of the store. Every node reads
/// the newest record at the start; after that the readers issue one long poll after the other, and
/// all other nodes fetch newer documents from peers. The position of a document is its version. A
/// record that is invalid, or whose version is not higher, leaves the document in force unchanged.
///
/// The response to a long poll can be lost on a connection that stays open, to all readers at once.
/// The lead therefore uses short polls. A standby replaces its poll when a peer has a document that
/// the poll should have returned.
///
/// The store may turn away some nodes and serve others. A lead whose reads fail asks other nodes to
/// read the store; one that has succeeded is its deputy and reads like a lead while it is asked.
class record_follower final : public configuration {
public:
    record_follower(record_follower_options options, control_loop& loop, keyed_store& store,
                    peer_client& peers, metrics& stats);
    ~record_follower() override;

    void start() override;
    const snapshot<document>& current() const override { return current_; }
    void on_advance(std::function<void(std::uint64_t position)> listener) override;
    void set_reader_role(reader_role role) override;
    std::size_t wanted_readers() const override;
    source_progress progress() const override { return progress_; }
    void hint(const node_reference& peer, std::uint64_t position) override;
    evacuation_follower* evacuations() override { return &evacuations_; }
    void hint_evacuations(const node_reference& peer, std::uint64_t digest) override;
    fetched_changes handle_fetch(const fetch_request& request) const override;
    void handle_source_fetch(const fetch_request& request,
                             const peer_client::changes_done& done) override;
    void set_deputy_candidates(const std::function<std::vector<deputy_candidate>()>& list) override;

private:
    bool is_deputy() const { return deputy_until_ && ms_clock::now() < *deputy_until_; }
    bool is_reader() const { return role_ != reader_role::none || is_deputy(); }
    /// Whether the node polls like a standby.
    bool is_standby() const { return role_ == reader_role::standby && !is_deputy(); }
    milliseconds poll_wait() const;
    void expect_lead_response();
    /// Asks other nodes to read the store until a read of this node succeeds.
    void search_deputy();
    void ask_deputies(std::uint64_t search);
    void finish_source_fetch(const node_reference& peer,
                             const absl::StatusOr<fetched_changes>& changes);
    /// Responds to the peers that wait for a read of this node.
    void answer_waiting_peers(const absl::Status& status);
    fetched_changes source_changes(const fetch_request& request) const;
    /// Request for a newer document than the one in force.
    fetch_request make_fetch_request() const;
    void read();
    void finish_read(std::uint64_t number, const absl::StatusOr<keyed_page>& page);
    void handle_failed_read(const absl::Status& status);
    void apply_page(const keyed_page& page);
    /// Replaces the waiting read if it does not end within the grace time.
    void expect_response();
    void replace_read(std::string_view reason);
    void schedule_read(milliseconds delay);
    void update_store_state(const absl::Status& status);
    void count_read(read_end end);
    void log_failed_read(const absl::Status& status, time_point started) const;
    void report_tolerated_values(const document& accepted) const;
    static void report_shared_keys(const document& accepted);
    /// The compressed record is empty if only the text is known.
    bool apply(const std::string& text, const std::string& compressed, const char* source);
    void fetch();
    /// Applies a document or the evacuations of a peer.
    void apply_fetched(const fetched_changes& changes);
    /// Starts over with the newest records if the offset of the next read is of an older era.
    void on_rollback(std::uint64_t era);
    /// The time is the one from the request to the end of its response.
    void finish_fetch(const node_reference& peer, milliseconds took,
                      const absl::StatusOr<fetched_changes>& changes);

    struct peer_hint {
        node_reference peer;
        std::uint64_t position = 0;
    };

    const record_follower_options options_;
    control_loop& loop_;
    keyed_store& store_;
    peer_client& peers_;
    metrics& stats_;
    std::mt19937_64 random_;
    snapshot<document> current_;
    std::uint64_t version_ = 0;
    /// Record of the document in force, for peers.
    std::string record_text_;
    /// The same compressed, unless the record is small.
    std::string compressed_record_;
    std::vector<std::function<void(std::uint64_t)>> listeners_;
    reader_role role_ = reader_role::none;
    bool reading_ = false;
    /// Identifies the read that waits for a response; those before it have ended or were replaced.
    std::uint64_t read_number_ = 0;
    /// The last read failed because the store no longer had the records.
    bool records_expired_ = false;
    source_progress progress_;
    /// The offset and the era after the last read that succeeded.
    std::uint64_t known_offset_ = 0;
    std::uint64_t known_era_ = 0;
    /// Offset of the next long poll; nothing when the newest record has to be read first.
    std::optional<std::uint64_t> next_offset_;
    /// Era of the store to which that offset belongs.
    std::uint64_t offset_era_ = 0;
    milliseconds backoff_{0};
    bool store_reachable_ = true;
    /// At most one of each peer; several, because a peer may not respond.
    std::vector<peer_hint> hints_;
    bool fetching_ = false;
    /// Fetching a newer document from a peer failed; the store is read instead, until
    /// that succeeds.
    bool peer_fetch_failed_ = false;
    deputy_search deputies_;
    /// Identifies the search that is active; the rounds of those before it have ended.
    std::uint64_t search_number_ = 0;
    std::function<std::vector<deputy_candidate>()> list_deputy_candidates_;
    /// End of the time for which this node reads the store for others.
    std::optional<time_point> deputy_until_;
    struct waiting_peer {
        fetch_request request;
        peer_client::changes_done done;
    };
    std::vector<waiting_peer> waiting_peers_;
    evacuation_follower evacuations_;
    std::optional<time_point> evacuations_fetched_at_;
};

} // namespace chestnutstand
