#include "chestnutstand/config/record_follower.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/support/compression.h"
#include "chestnutstand/support/log.h"
#include "chestnutstand/support/str_cat.h"
#include "chestnutstand/tenancy/tenant_directory.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr std::size_t max_hints = 4;
/// Every reader makes one call of the store for each change, and a call costs the same with and
/// without a new record. With three readers, two may lose their connection to the store at once.
constexpr std::size_t readers_per_data_centre = 3;
/// Smaller records fit into a few packets.
constexpr std::size_t min_compressed_bytes = 4'096;

} // namespace

record_follower::record_follower(record_follower_options options, control_loop& loop,
                                 keyed_store& store, peer_client& peers, metrics& stats)
    : options_{options}, loop_{loop}, store_{store}, peers_{peers}, stats_{stats},
      random_{options_.random_seed}, deputies_{options_.deputies, options_.random_seed},
      evacuations_{loop}
{
    evacuations_.on_rollback([this](std::uint64_t era) { on_rollback(era); });
}

record_follower::~record_follower() = default;

void record_follower::start()
{
    evacuations_.start();
    read();
}

void record_follower::on_advance(std::function<void(std::uint64_t position)> listener)
{
    listeners_.push_back(std::move(listener));
}

std::size_t record_follower::wanted_readers() const
{
    return readers_per_data_centre;
}

void record_follower::set_reader_role(reader_role role)
{
    const reader_role previous = std::exchange(role_, role);
    if (previous != role) {
        log_event(log_level::info, "document reader role changed",
                  {{"role", std::string{reader_role_names.name(role)}}, {"version", version_}});
    }
    if (role != reader_role::lead) {
        deputies_.stop();
    }
    // The role is set again and again; the pause after a failed read goes on.
    if (!is_reader() || previous == role) {
        return;
    }
    if (!reading_) {
        read();
    }
    else if (role == reader_role::lead && next_offset_) {
        replace_read("the node became the lead reader");
    }
}

void record_follower::read()
{
    const bool needed =
        is_reader() || version_ == 0 || peer_fetch_failed_ || !waiting_peers_.empty();
    if (reading_ || !needed) {
        return;
    }
    reading_ = true;
    progress_.waiting_since = ms_clock::now();
    auto done = [this, number = ++read_number_](absl::StatusOr<keyed_page> page) {
        loop_.post([this, number, page = std::move(page)] { finish_read(number, page); });
    };
    expect_lead_response();
    if (next_offset_) {
        store_.follow(store_topic::document, *next_offset_, poll_wait(), std::move(done));
        return;
    }
    store_.newest(store_topic::document, std::move(done));
}

milliseconds record_follower::poll_wait() const
{
    if (!waiting_peers_.empty()) {
        return options_.deputy_read_wait;
    }
    return is_standby() ? options_.standby_read_wait : options_.lead_read_wait;
}

void record_follower::finish_read(std::uint64_t number, const absl::StatusOr<keyed_page>& page)
{
    if (number != read_number_) {
        if (page.ok()) {
            apply_page(*page);
        }
        return;
    }
    reading_ = false;
    update_store_state(page.status());
    if (!page.ok()) {
        handle_failed_read(page.status());
        return;
    }
    progress_ = {ms_clock::now(), std::nullopt};
    deputies_.stop();
    count_read(page->records.empty() ? read_end::unchanged : read_end::changed);
    backoff_ = milliseconds{0};
    peer_fetch_failed_ = false;
    records_expired_ = records_expired_ && !next_offset_;
    const bool is_listing = !next_offset_;
    apply_page(*page);
    if (!is_listing && page->era != offset_era_) {
        // The offset belongs to another era; the page may lack records or contain those of the
        // older copy. The newest records are complete.
        next_offset_.reset();
        schedule_read(milliseconds{0});
        return;
    }
    next_offset_ = page->next;
    offset_era_ = page->era;
    known_offset_ = page->next;
    known_era_ = page->era;
    answer_waiting_peers(absl::OkStatus());
    is_listing ? evacuations_.observe_listing(*page) : evacuations_.observe_records(*page);
    schedule_read(milliseconds{0});
}

void record_follower::handle_failed_read(const absl::Status& status)
{
    count_read(read_end::failed);
    log_failed_read(status, *std::exchange(progress_.waiting_since, std::nullopt));
    // The store may no longer have the records from this offset on. The newest record suffices.
    next_offset_.reset();
    // A listing of the newest records that is out of date leads to expired records again.
    const bool expired_again = std::exchange(records_expired_, absl::IsOutOfRange(status));
    if (records_expired_ && !expired_again) {
        schedule_read(milliseconds{0});
        return;
    }
    answer_waiting_peers(status);
    if (!records_expired_) {
        search_deputy();
    }
    backoff_ = std::clamp(backoff_ * 2.0, options_.initial_backoff,
                          is_standby() ? options_.max_standby_backoff : options_.max_lead_backoff);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    schedule_read(backoff_ * jitter(random_));
}

void record_follower::apply_page(const keyed_page& page)
{
    for (const auto& record : page.records) {
        apply(record.value, {}, "store");
    }
}

void record_follower::on_rollback(std::uint64_t era)
{
    if (!next_offset_ || offset_era_ >= era) {
        return;
    }
    next_offset_.reset();
    if (reading_ && is_reader()) {
        replace_read("the store has a new era");
    }
}

void record_follower::expect_response()
{
    if (!reading_) {
        return;
    }
    loop_.post_after(options_.lost_read_grace, [this, number = read_number_] {
        if (reading_ && number == read_number_) {
            replace_read("a peer announced a document that the read did not return");
        }
    });
}

void record_follower::replace_read(std::string_view reason)
{
    const time_point started = *std::exchange(progress_.waiting_since, std::nullopt);
    count_read(read_end::abandoned);
    log_event(log_level::info, "document read replaced",
              {{"reason", std::string{reason}},
               {"waited_ms", (ms_clock::now() - started).count()},
               {"offset", next_offset_.value_or(0)},
               {"version", version_}});
    reading_ = false;
    read();
}

void record_follower::schedule_read(milliseconds delay)
{
    loop_.post_after(delay, [this] { read(); });
}

void record_follower::update_store_state(const absl::Status& status)
{
    const bool reachable = status.ok() || absl::IsOutOfRange(status);
    if (reachable == store_reachable_) {
        return;
    }
    store_reachable_ = reachable;
    log_event(log_level::warning,
              reachable ? "document store is reachable" : "document store is unreachable",
              {{"status", status.ToString()}, {"version", version_}});
}

void record_follower::count_read(read_end end)
{
    ++stats_.counter(
        str_cat("chestnutstand_document_reads_total{end=\"", read_end_names.name(end), "\"}"));
}

// A node whose reads are lost and a node whose document does not change differ in the time since
// the last response.
void record_follower::log_failed_read(const absl::Status& status, time_point started) const
{
    const time_point now = ms_clock::now();
    const time_point answered = progress_.answered_at.value_or(started);
    log_event(log_level::warning, "document read failed",
              {{"status", status.ToString()},
               {"waited_ms", (now - started).count()},
               {"silent_ms", (now - answered).count()},
               {"offset", next_offset_.value_or(0)},
               {"version", version_}});
}

void record_follower::report_tolerated_values(const document& accepted) const
{
    struct report {
        const char* metric;
        const char* message;
        const std::vector<std::string>& values;
    };
    const tolerated_values& tolerated = accepted.tolerated;
    for (const auto& [metric, message, values] :
         {report{"chestnutstand_document_unknown_names", "document has unknown names",
                 tolerated.unknown_names},
          report{"chestnutstand_document_adjusted_values", "document has values out of range",
                 tolerated.adjusted},
          report{"chestnutstand_document_damaged_values", "document has damaged values",
                 tolerated.left_out}}) {
        stats_.counter(metric) = values.size();
        if (!values.empty()) {
            log_event(log_level::warning, message,
                      {{"version", accepted.version},
                       {"count", static_cast<std::uint64_t>(values.size())},
                       {"first", values.front()}});
        }
    }
}

void record_follower::report_shared_keys(const document& accepted)
{
    if (!accepted.directory || accepted.directory->tenants_with_shared_keys().empty()) {
        return;
    }
    const auto& sharing = accepted.directory->tenants_with_shared_keys();
    log_event(log_level::warning, "document lists keys of several tenants",
              {{"version", accepted.version},
               {"tenants", static_cast<std::uint64_t>(sharing.size())},
               {"first", sharing.front()}});
}

/// Returns whether the record brought a new document into force.
bool record_follower::apply(const std::string& text, const std::string& compressed,
                            const char* source)
{
    const time_point started = ms_clock::now();
    auto parsed = parse_record(text, "document");
    if (!parsed.ok()) {
        log_event(log_level::warning, "document refused",
                  {{"source", std::string{source}},
                   {"reason", std::string{parsed.status().message()}},
                   {"version_in_force", version_}});
        return false;
    }
    if (parsed->version <= version_) {
        return false;
    }
    version_ = parsed->version;
    record_text_ = text;
    compressed_record_ = compressed;
    if (compressed.empty() && text.size() >= min_compressed_bytes) {
        compressed_record_ = compress(text);
    }
    const std::size_t routes = parsed->routes.size();
    report_tolerated_values(*parsed);
    report_shared_keys(*parsed);
    current_.store(std::make_shared<const document>(*std::move(parsed)));
    log_event(log_level::info, "document in force",
              {{"source", std::string{source}},
               {"version", version_},
               {"routes", static_cast<std::uint64_t>(routes)},
               {"bytes", static_cast<std::uint64_t>(text.size())},
               {"parse_ms", (ms_clock::now() - started).count()}});
    for (const auto& listener : listeners_) {
        listener(version_);
    }
    return true;
}

void record_follower::hint(const node_reference& peer, std::uint64_t position)
{
    if (position <= version_) {
        return;
    }
    std::erase_if(hints_, [&](const auto& hint) { return hint.peer == peer; });
    if (hints_.size() == max_hints) {
        hints_.erase(hints_.begin());
    }
    hints_.push_back({peer, position});
    if (!fetching_) {
        fetch();
    }
}

void record_follower::fetch()
{
    std::erase_if(hints_, [this](const auto& hint) { return hint.position <= version_; });
    if (hints_.empty()) {
        return;
    }
    fetching_ = true;
    const node_reference peer = hints_.back().peer;
    hints_.pop_back();
    peers_.fetch_changes(
        peer, make_fetch_request(), options_.fetch_timeout,
        [this, peer, started = ms_clock::now()](absl::StatusOr<fetched_changes> changes) {
            const milliseconds took = ms_clock::now() - started;
            loop_.post([this, peer, took, changes = std::move(changes)] {
                finish_fetch(peer, took, changes);
            });
        });
}

void record_follower::finish_fetch(const node_reference& peer, milliseconds took,
                                   const absl::StatusOr<fetched_changes>& changes)
{
    fetching_ = false;
    if (!changes.ok()) {
        log_event(log_level::warning, "document not fetched from a peer",
                  {{"peer", peer.address},
                   {"took_ms", took.count()},
                   {"reason", changes.status().ToString()}});
        peer_fetch_failed_ = true;
        expect_response();
        read();
    }
    else {
        const std::uint64_t before = version_;
        apply_fetched(*changes);
        if (version_ > before) {
            log_event(log_level::info, "document fetched from a peer",
                      {{"peer", peer.address}, {"took_ms", took.count()}, {"version", version_}});
            expect_response();
        }
    }
    fetch();
}

void record_follower::apply_fetched(const fetched_changes& changes)
{
    for (const auto& record : changes.records) {
        if (!evacuations_.merge(record.payload)) {
            apply(record.payload, record.compressed, "peer");
        }
    }
}

void record_follower::hint_evacuations(const node_reference& peer, std::uint64_t digest)
{
    const time_point now = ms_clock::now();
    const bool fetched_recently = evacuations_fetched_at_ && now - *evacuations_fetched_at_ <
                                                                 options_.evacuation_fetch_interval;
    if (digest == evacuations_.digest() || fetched_recently) {
        return;
    }
    evacuations_fetched_at_ = now;
    peers_.fetch_changes(peer, make_fetch_request(), options_.fetch_timeout,
                         [this](absl::StatusOr<fetched_changes> changes) {
                             loop_.post([this, changes = std::move(changes)] {
                                 if (changes.ok()) {
                                     apply_fetched(*changes);
                                 }
                             });
                         });
}

fetch_request record_follower::make_fetch_request() const
{
    fetch_request request;
    request.from_offset = version_;
    request.accepts_compressed = true;
    return request;
}

fetched_changes record_follower::handle_fetch(const fetch_request& request) const
{
    fetched_changes response;
    if (request.from_offset < version_) {
        response.records.push_back(
            {version_, record_text_, request.accepts_compressed ? compressed_record_ : ""});
    }
    if (evacuations_.digest() != 0) {
        response.records.push_back({version_, evacuations_.text()});
    }
    return response;
}

} // namespace chestnutstand
