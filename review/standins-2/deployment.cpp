#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

/// The command of deploy/system.toml, run in the root of the repository.
constexpr const char* program = "target/tools/chestnutstand/chestnutstand";
constexpr double heartbeat_s = 1.5;
constexpr double ready_limit_s = 10.0;
constexpr int max_queue_factor = 3;

std::string parameter(const std::string& target, const std::string& name)
{
    const auto found = target.find(name + "=");
    if (found == std::string::npos) {
        return "";
    }
    const auto start = found + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((value >> (8U * static_cast<unsigned>(i))) & 0xffU));
    }
    return text;
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(j <= count ? digits[(group >> (18U - 6U * j)) & 0x3fU] : '=');
        }
    }
    return text;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string random_hex()
{
    std::random_device entropy;
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(entropy()));
    return text.data();
}

} // namespace

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>{seconds});
}

void record::line(const std::string& text)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now_s());
    const std::lock_guard lock{mutex_};
    file_ << time.data() << text << std::endl;
}

double record::now_s() const
{
    return std::chrono::duration<double>{steady::now() - start_}.count();
}

store::store() : server_{"127.0.0.1", 0, [this](const request& asked) { return handle(asked); }} {}

store::~store()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    written_.notify_all();
}

void store::write(const std::string& topic, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock{mutex_};
        topics_[topic].push_back({key, value});
    }
    written_.notify_all();
}

void store::set_busy(bool busy)
{
    busy_ = busy;
    // Reads that wait end as well.
    written_.notify_all();
}

std::optional<std::string> store::handle(const request& asked)
{
    if (busy_) {
        return make_answer(503, {}, "");
    }
    const std::string topic = parameter(asked.target, "Topic");
    if (asked.target.rfind("/-/log-append", 0) == 0) {
        return append(topic, asked.body);
    }
    if (asked.target.rfind("/-/log-newest", 0) == 0) {
        return newest(topic);
    }
    if (asked.target.rfind("/-/log-read", 0) == 0) {
        return read(topic, asked.target);
    }
    return make_answer(404, {}, "");
}

std::string store::append(const std::string& topic, std::string_view body)
{
    constexpr std::size_t length_bytes = 4;
    std::size_t first = 0;
    std::size_t end = 0;
    {
        const std::lock_guard lock{mutex_};
        auto& records = topics_[topic];
        first = records.size();
        while (body.size() > length_bytes) {
            const std::size_t length = read_length(body.substr(0, length_bytes));
            const std::string_view content = body.substr(length_bytes, length);
            const std::size_t key_bytes = read_length(content.substr(0, 1));
            records.push_back({std::string{content.substr(1, key_bytes)},
                               std::string{content.substr(1 + key_bytes)}});
            body.remove_prefix(length_bytes + length);
        }
        end = records.size();
    }
    written_.notify_all();
    return make_answer(200, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                       "{\"Offset\":" + std::to_string(first) +
                           ",\"EndOffset\":" + std::to_string(end) + "}");
}

std::string store::newest(const std::string& topic)
{
    const std::lock_guard lock{mutex_};
    const auto& records = topics_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < records.size(); ++i) {
        last[records[i].key] = i;
    }
    std::string items;
    for (const auto& [key, offset] : last) {
        if (!records[offset].value.empty()) {
            items += std::string{items.empty() ? "" : ","} + R"({"Key":")" + key +
                     R"(","Value":")" + base64(records[offset].value) + R"(","Offset":)" +
                     std::to_string(offset) + "}";
        }
    }
    return make_answer(200, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                       "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" +
                           std::to_string(records.size()) + "}");
}

std::string store::read(const std::string& topic, const std::string& target)
{
    const auto from =
        static_cast<std::size_t>(std::strtoull(parameter(target, "From").c_str(), nullptr, 10));
    const std::chrono::milliseconds wait{
        std::strtoll(parameter(target, "WaitMs").c_str(), nullptr, 10)};
    std::unique_lock lock{mutex_};
    written_.wait_for(lock, wait,
                      [&] { return stopping_ || busy_ || topics_[topic].size() != from; });
    if (busy_) {
        return make_answer(503, {}, "");
    }
    const auto& records = topics_[topic];
    if (from > records.size()) {
        return make_answer(410, {{"Store-Era", "1"}}, "{\"FirstOffset\":0}");
    }
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        body += big_endian(1 + key.size() + value.size(), 4) + big_endian(key.size(), 1);
        body += key;
        body += value;
    }
    return make_answer(200, {{"Content-Type", "application/octet-stream"}, {"Store-Era", "1"}},
                       body);
}

machine::machine(deployment& owner, std::string address, std::string zone, upstream_options options)
    : owner_{owner}, address_{std::move(address)}, zone_{std::move(zone)},
      options_{std::move(options)}, id_{"i-" + random_hex()}, born_ms_{unix_ms()}
{
    const auto& ports = owner_.ports_;
    const auto socket = [this](std::uint16_t port) {
        return "\"" + address_ + ":" + std::to_string(port) + "\"";
    };
    settings_file_ = owner_.directory_ + "/" + address_ + ".json";
    // What deploy/node.json gives with the settings of a machine of a small site.
    std::ofstream{settings_file_}
        << "{\"address\":\"" << address_ << "\",\"data_centre\":\"" << zone_
        << "\",\"caller_address\":" << socket(ports.callers)
        << ",\"readiness_address\":" << socket(ports.readiness)
        << ",\"registration_address\":" << socket(ports.registration)
        << ",\"node_port\":" << ports.nodes << ",\"gossip_port\":" << ports.nodes
        << ",\"admin_port\":" << ports.operators
        << ",\"store_url\":\"http://127.0.0.1:" << owner_.store_.port()
        << R"(","caller_interface":"routes","origin_service":")" << options_.service
        << R"(","retry_limits":{"ratio":0.2,"slack":56,"window_s":10},"node_carrier":"http",)"
           R"("http_threads":1,"grace_s":6,"memory_limit_mb":)"
        << machine_memory_mb << R"(,"descriptor_limit":4100,"link_mbps":1000.0,"headers":{)"
        << R"("request_id":"Request-Id","timeout_ms":"Deadline-Ms","not_run":"Not-Executed",)"
           R"("upstream_id":"Expect-Instance","origin_service":"Caller-Service",)"
           R"("upstream_load":"Backend-Load","upstream_rate_limit":"Server-Limit",)"
           R"("upstream_leaving":"Server-Leaving","tenant":"Tenant","upstream_cold":"Cold-Ms",)"
           R"("priority":"","depth":"","retry_budget":"","idempotency_key":"","outcome":"",)"
           R"("reason":""}})";
    server_ = std::make_unique<listener>(address_, ports.upstreams,
                                         [this](const request& asked) { return handle(asked); });
}

machine::~machine()
{
    stopping_ = true;
    if (heartbeats_.joinable()) {
        heartbeats_.join();
    }
    kill_node();
}

void machine::start_node()
{
    const std::string output = owner_.directory_ + "/" + address_ + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        // The node must not outlive the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program, program, "node", "--settings", settings_file_.c_str(), nullptr);
        ::_exit(127);
    }
    if (!heartbeats_.joinable()) {
        heartbeats_ = std::thread{[this] { send_heartbeats(); }};
    }
}

void machine::signal_node(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void machine::kill_node()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }
}

bool machine::node_runs()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ > 0;
}

double machine::node_memory_mib() const
{
    if (process_ <= 0) {
        return 0.0;
    }
    std::ifstream file{"/proc/" + std::to_string(process_) + "/statm"};
    double total_pages = 0.0;
    double resident_pages = 0.0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1'048'576.0;
}

std::optional<std::string> machine::handle(const request& asked)
{
    const std::string load =
        std::to_string(running_.load()) + ",0," + std::to_string(options_.slots) + ",100";
    if (asked.target == "/healthz") {
        return make_answer(leaving_ ? 503 : 200, {{"Instance-Id", id_}, {"Backend-Load", load}},
                           "");
    }
    const std::string request_id = header_of(asked.fields, "Request-Id");
    if (request_id.empty()) {
        return make_answer(400, {{"Not-Executed", "1"}}, "");
    }
    const std::string expected = header_of(asked.fields, "Expect-Instance");
    if (!expected.empty() && expected != id_) {
        return make_answer(421, {{"Request-Id", request_id}, {"Instance-Id", id_}}, "");
    }
    if (running_ >= max_queue_factor * options_.slots) {
        return make_answer(503, {{"Request-Id", request_id}, {"Not-Executed", "1"}}, "");
    }
    ++running_;
    if (options_.keeps_runs) {
        owner_.note_run({owner_.log_.now_s(), address_, options_.service, asked});
    }
    sleep_s(options_.work_s(asked));
    --running_;
    headers fields{{"Request-Id", request_id},
                   {"Server-Seal", "seal-of-" + options_.service},
                   {"Backend-Load", load}};
    fields.insert(fields.end(), options_.extra_fields.begin(), options_.extra_fields.end());
    return make_answer(200, fields, "work of " + options_.service);
}

request machine::heartbeat()
{
    request beat{"PUT", "/upstreams/" + id_, {{"Host", address_}}, ""};
    beat.fields.emplace_back("Content-Type", "application/json");
    beat.body = R"({"service":")" + options_.service + R"(","address":")" + address_ + ":" +
                std::to_string(owner_.ports_.upstreams) + R"(","data_centre":")" + zone_ +
                R"(","version":"v1","slots":)" + std::to_string(options_.slots) +
                R"(,"state":"ready","cold_ms":0,"sequence":)" + std::to_string(++sequence_) +
                R"(,"born":)" + std::to_string(born_ms_) + "}";
    return beat;
}

bool machine::leave()
{
    leaving_ = true;
    const request departure{"DELETE",
                            "/upstreams/" + id_,
                            {{"Host", address_}, {"Content-Type", "application/json"}},
                            "{\"born\":" + std::to_string(born_ms_) + "}"};
    return exchange(address_, owner_.ports_.registration, departure, 1.0).status == 200;
}

void machine::send_heartbeats()
{
    while (!stopping_) {
        const bool accepted =
            leaving_ ||
            exchange(address_, owner_.ports_.registration, heartbeat(), 1.0).status == 200;
        const double pause = accepted ? heartbeat_s : 0.2;
        for (double waited = 0.0; waited < pause && !stopping_; waited += 0.1) {
            sleep_s(0.1);
        }
    }
}

deployment::deployment(const std::string& record_file) : log_{record_file}
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        std::exit(exit_not_run);
    }
    directory_ = name;
    std::random_device entropy;
    network_ = "127." + std::to_string(1 + entropy() % 250) + "." +
               std::to_string(1 + entropy() % 250) + ".";
}

deployment::~deployment()
{
    machines_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

machine& deployment::add(const std::string& zone, upstream_options options)
{
    const std::string address = network_ + std::to_string(machines_.size() + 1);
    log_.line("machine " + address + " in " + zone + " beside " + options.service);
    machines_.push_back(
        std::unique_ptr<machine>{new machine{*this, address, zone, std::move(options)}});
    return *machines_.back();
}

bool deployment::start()
{
    for (const auto& added : machines_) {
        added->start_node();
    }
    const double limit = log_.now_s() + ready_limit_s;
    for (const auto& added : machines_) {
        const request question{"GET", "/health", {{"Host", added->address()}}, ""};
        while (exchange(added->address(), ports_.readiness, question, 1.0).status != 200) {
            if (log_.now_s() > limit) {
                log_.line("node of " + added->address() + " is not ready");
                return false;
            }
            sleep_s(0.1);
        }
    }
    log_.line("all nodes are ready");
    // All machines are in touch once they have been calm for the window.
    sleep_s(stable_window_s + 1.0);
    return true;
}

void deployment::set_store_busy(bool busy)
{
    store_.set_busy(busy);
    log_.line(busy ? "the store is busy" : "the store is back");
}

double deployment::configure(const std::string& document)
{
    store_.write("keyed.op", "config", document);
    const double acknowledged = log_.now_s();
    log_.line("store acknowledged op/config: " + document.substr(0, 400));
    return acknowledged;
}

std::vector<run> deployment::runs()
{
    const std::lock_guard lock{mutex_};
    return runs_;
}

void deployment::clear_runs()
{
    const std::lock_guard lock{mutex_};
    runs_.clear();
}

answer deployment::ask(const machine& entry, const request& message, double timeout_s) const
{
    return exchange(entry.address(), ports_.callers, message, timeout_s);
}

std::string deployment::next_request_id()
{
    const std::lock_guard lock{mutex_};
    return random_hex() + "-" + std::to_string(++next_id_);
}

void deployment::note_run(run seen)
{
    const std::lock_guard lock{mutex_};
    runs_.push_back(std::move(seen));
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

} // namespace review
