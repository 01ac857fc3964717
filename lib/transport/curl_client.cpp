#include "client_sockets.h"
#include "response_budget.h"
#include "response_reader.h"

#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr long connect_timeout_ms = 300;
// Middleboxes drop the state of idle connections; a request on such a connection gets no response.
constexpr long max_connection_idle_s = 10;
constexpr long max_pooled_connections = 256;
/// A handle takes a few kilobytes; more concurrent transfers than this are rare.
constexpr std::size_t max_idle_handles = 64;
constexpr int poll_timeout_ms = 1'000;
/// A request and the response received so far.
struct transfer {
    http_client::request_id id = 0;
    http_request request;
    http_client::http_done done;
    time_point started;
    milliseconds timeout{0};
    CURL* handle = nullptr;
    /// State of the client that runs the transfer.
    client_sockets* sockets = nullptr;
    response_budget* budget = nullptr;
    curl_slist* headers = nullptr;
    bool request_sent = false;
    /// Bytes of the prefix and the body that libcurl has taken.
    std::size_t uploaded = 0;
    /// The connection chosen for the request was closed by the server, or has bytes to read that
    /// belong to no request. Nothing was sent on it.
    bool connection_unusable = false;
    std::optional<response_reader> reader;

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(handle);
    }
};

/// Whether the response returns the value of the request's echoed_header.
bool response_matches_request(transfer& exchange)
{
    const auto& name = exchange.request.echoed_header;
    return name.empty() || find_header(exchange.reader->response().headers, name) ==
                               find_header(exchange.request.headers, name);
}

/// Passes the prefix and the body to libcurl without a common buffer for both.
std::size_t on_upload(char* buffer, std::size_t size, std::size_t count, void* user)
{
    auto& exchange = *static_cast<transfer*>(user);
    const std::string_view prefix = exchange.request.body_prefix;
    const std::string_view next =
        exchange.uploaded < prefix.size()
            ? prefix.substr(exchange.uploaded)
            : exchange.request.body.view().substr(exchange.uploaded - prefix.size());
    const std::size_t taken = next.copy(buffer, size * count);
    exchange.uploaded += taken;
    return taken;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& exchange = *static_cast<transfer*>(user);
    const std::size_t length = size * count;
    if (!exchange.reader->add_header_line({data, length})) {
        return 0;
    }
    exchange.budget->update(*exchange.reader);
    if (exchange.reader->is_head_complete() && !response_matches_request(exchange)) {
        curl_easy_setopt(exchange.handle, CURLOPT_FORBID_REUSE, 1L);
    }
    return length;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& exchange = *static_cast<transfer*>(user);
    const std::size_t length = size * count;
    if (!exchange.reader->add_body({data, length})) {
        return 0;
    }
    exchange.budget->update(*exchange.reader);
    if (exchange.reader->has_excess()) {
        curl_easy_setopt(exchange.handle, CURLOPT_FORBID_REUSE, 1L);
    }
    return length;
}

// libcurl silently resends a request when a pooled connection closes without a response. The server
// may have run the request, so a second start of the same transfer is aborted. libcurl also reuses
// a pooled connection on which a response already lies, and would take it for that of the request.
int on_request_start(void* user, char* peer_address, char* /*local_address*/, int peer_port,
                     int local_port)
{
    auto& exchange = *static_cast<transfer*>(user);
    if (exchange.request_sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    exchange.connection_unusable =
        exchange.sockets->has_unexpected_input({peer_address, peer_port, local_port});
    if (exchange.connection_unusable) {
        return CURL_PREREQFUNC_ABORT;
    }
    exchange.request_sent = true;
    return CURL_PREREQFUNC_OK;
}

int set_socket_options(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    limit_silence(socket);
    return CURL_SOCKOPT_OK;
}

curl_socket_t open_socket(void* user, curlsocktype /*purpose*/, curl_sockaddr* address)
{
    return static_cast<client_sockets*>(user)->open(address->family, address->socktype,
                                                    address->protocol);
}

int close_socket(void* user, curl_socket_t socket)
{
    return static_cast<client_sockets*>(user)->close(socket);
}

/// Whether libcurl ended the transfer because it cannot read the response itself.
bool is_unreadable(CURLcode code)
{
    return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL;
}

http_error error_of(transfer& exchange, CURLcode code)
{
    response_reader& reader = *exchange.reader;
    if (code == CURLE_OK) {
        return reader.finish();
    }
    if (!exchange.request_sent) {
        return http_error::connect_failed;
    }
    if (reader.error() != http_error::none) {
        return reader.error();
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return http_error::timed_out;
    }
    if (is_unreadable(code)) {
        return http_error::malformed;
    }
    const bool ended_early = code == CURLE_PARTIAL_FILE || code == CURLE_RECV_ERROR;
    return ended_early && reader.has_begun() ? http_error::truncated : http_error::connection_lost;
}

class curl_client;

/// Client that runs the current thread; null on other threads.
thread_local const curl_client* client_of_this_thread = nullptr;

class curl_client final : public http_client {
public:
    explicit curl_client(http_client_limits limits)
        : max_response_bytes_{limits.max_response_bytes}, multi_{curl_multi_init()},
          budget_{limits.max_held_bytes, std::move(limits.memory)}
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_pooled_connections);
        thread_ = std::thread{[this] { run(); }};
    }

    curl_client(const curl_client&) = delete;
    curl_client& operator=(const curl_client&) = delete;

    ~curl_client() override
    {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        for (CURL* idle : idle_handles_) {
            curl_easy_cleanup(idle);
        }
        curl_multi_cleanup(multi_);
    }

    request_id send(const std::string& base_url, http_request request, milliseconds timeout,
                    http_done done) override
    {
        auto exchange = std::make_unique<transfer>();
        exchange->request = std::move(request);
        exchange->done = std::move(done);
        const std::size_t own_limit = exchange->request.max_response_bytes;
        exchange->reader.emplace(exchange->request.method == "HEAD",
                                 own_limit == 0 ? max_response_bytes_
                                                : std::min(own_limit, max_response_bytes_));
        exchange->started = ms_clock::now();
        exchange->timeout = timeout;
        exchange->handle = acquire_handle();
        configure(*exchange, base_url, timeout);
        request_id id = 0;
        {
            const std::lock_guard lock{mutex_};
            id = exchange->id = next_id_++;
            added_.push_back(std::move(exchange));
        }
        wake();
        return id;
    }

    void cancel(request_id id) override
    {
        {
            const std::lock_guard lock{mutex_};
            cancelled_.push_back(id);
        }
        wake();
    }

private:
    void configure(transfer& exchange, const std::string& base_url, milliseconds timeout);
    void run();
    void wake();
    CURL* acquire_handle();
    void release_handle(CURL* handle);
    bool process_commands();
    bool has_commands();
    void add(std::unique_ptr<transfer> exchange);
    void finish_completed();
    /// Starts a transfer again, on a new connection, whose pooled connection was unusable. Returns
    /// false if its time has passed.
    bool restart(transfer& exchange);
    /// Ends the transfers whose response has not begun in time. Returns the time until the next one
    /// may have to end.
    milliseconds finish_silent();
    /// Ends the transfers whose responses the budget has abandoned.
    void finish_abandoned();
    void finish(request_id id, http_error error);
    void cancel_all();

    const std::size_t max_response_bytes_;
    CURLM* multi_;
    std::thread thread_;
    std::mutex mutex_;
    bool stopping_ = false;
    request_id next_id_ = 1;
    std::vector<std::unique_ptr<transfer>> added_;
    std::vector<request_id> cancelled_;
    std::vector<CURL*> idle_handles_;
    /// Accessed only by the client's thread, like the next three.
    client_sockets sockets_;
    response_budget budget_;
    std::unordered_map<request_id, std::unique_ptr<transfer>> running_;
    /// Transfers with a limit for the start of their response.
    std::vector<std::pair<request_id, time_point>> response_start_limits_;
};

void curl_client::configure(transfer& exchange, const std::string& base_url, milliseconds timeout)
{
    CURL* handle = exchange.handle;
    exchange.sockets = &sockets_;
    exchange.budget = &budget_;
    const std::string url = base_url + exchange.request.target;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &exchange);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max(1L, std::lround(timeout.count())));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_connection_idle_s);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, open_socket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, &sockets_);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, &sockets_);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, exchange.request.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_request_start);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    if (exchange.request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    else if (exchange.request.method != "GET" || !exchange.request.body.empty()) {
        const http_request& sent = exchange.request;
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(sent.body_prefix.size() + sent.body.size()));
        if (sent.body_prefix.empty()) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, sent.body.data());
        }
        else {
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_READFUNCTION, on_upload);
            curl_easy_setopt(handle, CURLOPT_READDATA, &exchange);
        }
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, exchange.request.method.c_str());
    // An empty value suppresses a header that libcurl would add by itself.
    exchange.headers = curl_slist_append(exchange.headers, "Expect:");
    if (!find_header(exchange.request.headers, "accept")) {
        exchange.headers = curl_slist_append(exchange.headers, "Accept:");
    }
    if (!find_header(exchange.request.headers, "content-type")) {
        exchange.headers = curl_slist_append(exchange.headers, "Content-Type:");
    }
    for (const auto& field : exchange.request.headers) {
        const std::string line =
            field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
        exchange.headers = curl_slist_append(exchange.headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, exchange.headers);
}

/// Callbacks often send the next request; the client's own thread needs no wake-up, as it checks
/// for commands after running callbacks.
void curl_client::wake()
{
    if (client_of_this_thread != this) {
        curl_multi_wakeup(multi_);
    }
}

CURL* curl_client::acquire_handle()
{
    {
        const std::lock_guard lock{mutex_};
        if (!idle_handles_.empty()) {
            CURL* idle = idle_handles_.back();
            idle_handles_.pop_back();
            return idle;
        }
    }
    return curl_easy_init();
}

void curl_client::release_handle(CURL* handle)
{
    curl_easy_reset(handle);
    {
        const std::lock_guard lock{mutex_};
        if (idle_handles_.size() < max_idle_handles) {
            idle_handles_.push_back(handle);
            return;
        }
    }
    curl_easy_cleanup(handle);
}

void curl_client::run()
{
    client_of_this_thread = this;
    while (process_commands()) {
        int active = 0;
        curl_multi_perform(multi_, &active);
        finish_completed();
        finish_abandoned();
        if (has_commands()) {
            continue;
        }
        const double wait = std::min<double>(poll_timeout_ms, finish_silent().count());
        curl_multi_poll(multi_, nullptr, 0, static_cast<int>(std::ceil(wait)), nullptr);
    }
    cancel_all();
}

bool curl_client::process_commands()
{
    std::vector<std::unique_ptr<transfer>> added;
    std::vector<request_id> cancelled;
    bool stopping = false;
    {
        const std::lock_guard lock{mutex_};
        added.swap(added_);
        cancelled.swap(cancelled_);
        stopping = stopping_;
    }
    for (auto& exchange : added) {
        add(std::move(exchange));
    }
    for (const request_id id : cancelled) {
        finish(id, http_error::cancelled);
    }
    return !stopping;
}

bool curl_client::has_commands()
{
    const std::lock_guard lock{mutex_};
    return !added_.empty() || !cancelled_.empty() || stopping_;
}

void curl_client::add(std::unique_ptr<transfer> exchange)
{
    curl_multi_add_handle(multi_, exchange->handle);
    const request_id id = exchange->id;
    if (exchange->request.response_start_timeout > milliseconds{0}) {
        response_start_limits_.emplace_back(id, exchange->started +
                                                    exchange->request.response_start_timeout);
    }
    running_.emplace(id, std::move(exchange));
}

void curl_client::finish_completed()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        transfer* ended = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
        if (ended->connection_unusable && restart(*ended)) {
            continue;
        }
        finish(ended->id, error_of(*ended, code));
    }
}

bool curl_client::restart(transfer& exchange)
{
    const milliseconds left = exchange.timeout - (ms_clock::now() - exchange.started);
    if (left < milliseconds{1}) {
        return false;
    }
    exchange.connection_unusable = false;
    exchange.uploaded = 0;
    curl_multi_remove_handle(multi_, exchange.handle);
    curl_easy_setopt(exchange.handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(exchange.handle, CURLOPT_TIMEOUT_MS, std::lround(left.count()));
    curl_multi_add_handle(multi_, exchange.handle);
    return true;
}

milliseconds curl_client::finish_silent()
{
    const time_point now = ms_clock::now();
    milliseconds next{poll_timeout_ms};
    std::vector<request_id> silent;
    std::erase_if(response_start_limits_, [&](const auto& limit) {
        const auto found = running_.find(limit.first);
        if (found == running_.end() || found->second->reader->has_begun()) {
            return true;
        }
        if (now >= limit.second) {
            silent.push_back(limit.first);
            return true;
        }
        next = std::min(next, limit.second - now);
        return false;
    });
    for (const request_id id : silent) {
        finish(id, http_error::timed_out);
    }
    // The callbacks may have sent requests, which the poll does not notice on this thread.
    return silent.empty() ? next : milliseconds{0};
}

// Another transfer may have exceeded the budget, so that libcurl has not ended these.
void curl_client::finish_abandoned()
{
    if (!budget_.take_abandoned()) {
        return;
    }
    std::vector<std::pair<request_id, http_error>> abandoned;
    for (const auto& [id, exchange] : running_) {
        if (exchange->reader->error() != http_error::none) {
            abandoned.emplace_back(id, exchange->reader->error());
        }
    }
    for (const auto& [id, error] : abandoned) {
        finish(id, error);
    }
}

void curl_client::finish(request_id id, http_error error)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    running_.erase(found);
    // Removing a handle during a transfer closes its connection, so that a late response cannot be
    // attributed to another request.
    curl_multi_remove_handle(multi_, ended->handle);
    memory_lease memory = budget_.take(*ended->reader);
    release_handle(std::exchange(ended->handle, nullptr));
    http_response response = std::move(ended->reader->response());
    response.body = shared_body{response.body.take(), std::move(memory)};
    // The callback may keep the result for long, and a request is not needed any more.
    ended->request.body = {};
    ended->done({error, std::move(response), ms_clock::now() - ended->started});
}

void curl_client::cancel_all()
{
    while (!running_.empty()) {
        finish(running_.begin()->first, http_error::cancelled);
    }
}

} // namespace

std::unique_ptr<http_client> make_http_client(http_client_limits limits)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
    if (initialized != CURLE_OK) {
        std::abort();
    }
    return std::make_unique<curl_client>(std::move(limits));
}

} // namespace chestnutstand
