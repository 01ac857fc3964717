#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr long connect_timeout_ms = 300;
// Middleboxes forget idle connections; an old pooled connection may swallow a request.
constexpr long max_idle_seconds = 10;
// Several retransmissions within a data centre and one across regions.
constexpr unsigned tcp_user_timeout_ms = 750;
constexpr int keepalive_seconds = 2;
constexpr long max_pooled_connections = 256;
/// A handle takes a few kilobytes; more transfers than this rarely run at once.
constexpr std::size_t max_idle_handles = 64;
constexpr int poll_timeout_ms = 1'000;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

/// One request and what has been received for it.
struct transfer {
    http_client::request_id id = 0;
    http_request request;
    http_client::http_done done;
    http_result result;
    time_point started;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    bool request_sent = false;
    bool headers_complete = false;
    /// The header block is that of an interim response, which another one follows.
    bool interim = false;
    bool chunked = false;
    bool too_large = false;
    std::size_t max_response_bytes = 0;

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(handle);
    }
};

/// Whether the response names the request that it answers.
bool response_matches_request(const transfer& received)
{
    const auto& name = received.request.echoed_header;
    return name.empty() || find_header(received.result.response.headers, name) ==
                               find_header(received.request.headers, name);
}

bool is_interim(std::string_view status_line)
{
    const auto space = status_line.find(' ');
    return space != std::string_view::npos && status_line.substr(space + 1, 1) == "1";
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& self = *static_cast<transfer*>(user);
    const std::string_view line{data, size * count};
    if (line.rfind("HTTP/", 0) == 0) {
        // A new header block starts, for example after 100 Continue.
        self.result.response.headers.clear();
        self.chunked = false;
        self.headers_complete = false;
        self.interim = is_interim(line);
        return line.size();
    }
    if (line == "\r\n" || line == "\n") {
        self.headers_complete = true;
        if (!self.interim && !response_matches_request(self)) {
            curl_easy_setopt(self.handle, CURLOPT_FORBID_REUSE, 1L);
        }
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    http_header field{std::string{line.substr(0, colon)},
                      std::string{trim_whitespace(line.substr(colon + 1))}};
    if (header_name_equal(field.name, "transfer-encoding") &&
        header_name_equal(field.value, "chunked")) {
        self.chunked = true;
    }
    self.result.response.headers.push_back(std::move(field));
    return line.size();
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& self = *static_cast<transfer*>(user);
    const std::size_t length = size * count;
    if (self.result.response.body.size() + length > self.max_response_bytes) {
        self.too_large = true;
        return 0;
    }
    self.result.response.body.append(data, length);
    return length;
}

// libcurl silently repeats a request when a pooled connection closes without a response. The server
// may have run it, so a second start of the same transfer is aborted.
int on_request_start(void* user, char*, char*, int, int)
{
    auto& self = *static_cast<transfer*>(user);
    if (self.request_sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    self.request_sent = true;
    return CURL_PREREQFUNC_OK;
}

/// Ends connections whose other side has gone or has forgotten them, so that neither a request nor
/// a pooled connection waits for it until a deadline.
int on_socket(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
                 sizeof tcp_user_timeout_ms);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_seconds, sizeof keepalive_seconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_seconds, sizeof keepalive_seconds);
    return CURL_SOCKOPT_OK;
}

bool body_is_framed(const transfer& done)
{
    const int status = done.result.response.status;
    if (done.chunked || done.request.method == "HEAD" || status == status_no_content ||
        status == status_not_modified) {
        return true;
    }
    return find_header(done.result.response.headers, "content-length").has_value();
}

http_error error_of(const transfer& done, CURLcode code)
{
    // libcurl reports success when the connection closes within the header block.
    if (code == CURLE_OK && !done.headers_complete) {
        return done.result.response.status == 0 ? http_error::connection_lost
                                                : http_error::truncated;
    }
    if (code == CURLE_OK) {
        return body_is_framed(done) ? http_error::none : http_error::unframed;
    }
    if (!done.request_sent) {
        return http_error::connect_failed;
    }
    if (done.too_large) {
        return http_error::too_large;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return http_error::timed_out;
    }
    if (code == CURLE_PARTIAL_FILE || (code == CURLE_RECV_ERROR && done.result.response.status)) {
        return http_error::truncated;
    }
    return http_error::connection_lost;
}

class curl_client;

/// The client whose thread this is.
thread_local const curl_client* client_of_this_thread = nullptr;

class curl_client final : public http_client {
public:
    explicit curl_client(std::size_t max_response_bytes)
        : max_response_bytes_{max_response_bytes}, multi_{curl_multi_init()}
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
        auto next = std::make_unique<transfer>();
        next->request = std::move(request);
        next->done = std::move(done);
        next->max_response_bytes = max_response_bytes_;
        next->started = ms_clock::now();
        next->handle = acquire_handle();
        configure(*next, base_url, timeout);
        request_id id = 0;
        {
            const std::lock_guard lock{mutex_};
            id = next->id = next_id_++;
            added_.push_back(std::move(next));
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
    static void configure(transfer& next, const std::string& base_url, milliseconds timeout);
    void run();
    void wake();
    CURL* acquire_handle();
    void release_handle(CURL* handle);
    bool process_commands();
    bool has_commands();
    void add(std::unique_ptr<transfer> next);
    void finish_completed();
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
    /// Only used by the client's thread.
    std::unordered_map<request_id, std::unique_ptr<transfer>> running_;
};

void curl_client::configure(transfer& next, const std::string& base_url, milliseconds timeout)
{
    CURL* handle = next.handle;
    const std::string url = base_url + next.request.target;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &next);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max(1L, std::lround(timeout.count())));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, next.request.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_request_start);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &next);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &next);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &next);
    if (next.request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    else if (next.request.method != "GET" || !next.request.body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(next.request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, next.request.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, next.request.method.c_str());
    // An empty value suppresses the headers that libcurl would add on its own.
    next.headers = curl_slist_append(next.headers, "Expect:");
    if (!find_header(next.request.headers, "accept")) {
        next.headers = curl_slist_append(next.headers, "Accept:");
    }
    if (!find_header(next.request.headers, "content-type")) {
        next.headers = curl_slist_append(next.headers, "Content-Type:");
    }
    for (const auto& field : next.request.headers) {
        const std::string line =
            field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
        next.headers = curl_slist_append(next.headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, next.headers);
}

/// Callbacks often send the next request; the client's thread sees it without being woken.
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
        if (has_commands()) {
            continue;
        }
        curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
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
    for (auto& next : added) {
        add(std::move(next));
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

void curl_client::add(std::unique_ptr<transfer> next)
{
    curl_multi_add_handle(multi_, next->handle);
    const request_id id = next->id;
    running_.emplace(id, std::move(next));
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
        long status = 0;
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        ended->result.response.status = static_cast<int>(status);
        finish(ended->id, error_of(*ended, code));
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
    // Removing a handle in mid-transfer closes its connection, so a late response cannot be taken
    // for the response of another request.
    curl_multi_remove_handle(multi_, ended->handle);
    release_handle(std::exchange(ended->handle, nullptr));
    ended->result.error = error;
    ended->result.elapsed = ms_clock::now() - ended->started;
    ended->done(std::move(ended->result));
}

void curl_client::cancel_all()
{
    while (!running_.empty()) {
        finish(running_.begin()->first, http_error::cancelled);
    }
}

} // namespace

std::unique_ptr<http_client> make_http_client(std::size_t max_response_bytes)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
    if (initialized != CURLE_OK) {
        std::abort();
    }
    return std::make_unique<curl_client>(max_response_bytes);
}

} // namespace chestnutstand
