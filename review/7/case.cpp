// A version of the document that moves a route and adds the 101st API key of a tenant.

#include "../standins-2/deployment.h"

using namespace review;

namespace {

constexpr int keys_before = 99;
constexpr int requests_per_entry = 5;

/// Keys of the tenant, as the operator adds one with each new integration.
std::string keys(int count)
{
    std::string list;
    for (int i = 0; i < count; ++i) {
        list += std::string{i == 0 ? "" : ","} + "\"key-of-integration-" + std::to_string(i) + "\"";
    }
    return list;
}

std::string document(int version, const std::string& service, int key_count)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"booking","host":"booking.example","path_prefix":"/seats/",)"
           R"("kind":"idempotent","timeout_ms":1200,"latency_target_ms":600,"rank":1,"service":")" +
           service +
           R"(","attempts":2}],"services":[{"name":"seats-old","health_path":"/healthz",)"
           R"("max_connections":220},{"name":"seats-new","health_path":"/healthz",)"
           R"("max_connections":220}],"tenants":[{"name":"clinic-group","keys":[)" +
           keys(key_count) + R"(]},{"name":"small-clinic","keys":["key-of-small-clinic"]}],)" +
           document_limits + "}";
}

request seats(deployment& played, const std::string& key)
{
    return {"GET",
            "/seats/free",
            {{"Host", "booking.example"},
             {"Request-Id", played.next_request_id()},
             {"Deadline-Ms", "2500"},
             {"Authorization", "Bearer " + key}},
            ""};
}

struct findings {
    int served = 0;
    int run_by_old_service = 0;
    int refused_with_401 = 0;
};

/// Sends requests through all nodes with an old and a new key.
findings ask_everywhere(deployment& played, const std::string& new_key)
{
    findings found;
    for (int i = 0; i < requests_per_entry; ++i) {
        for (const auto& entry : played.machines()) {
            for (const std::string& key : {std::string{"key-of-small-clinic"}, new_key}) {
                const request asked = seats(played, key);
                const answer received = played.ask(*entry, asked, 3.0);
                const bool old = received.body == "work of seats-old";
                played.log().line("request " + header_of(asked.fields, "Request-Id") + " with " +
                                  key + " through " + entry->address() + ": " +
                                  std::to_string(received.status) + " " +
                                  received.body.substr(0, 40));
                found.served += received.status == 200 ? 1 : 0;
                found.run_by_old_service += received.status == 200 && old ? 1 : 0;
                found.refused_with_401 += received.status == 401 ? 1 : 0;
            }
        }
        sleep_s(0.5);
    }
    return found;
}

} // namespace

int main(int /*argc*/, char** argv)
{
    deployment played{argv[1]};
    for (const char* service : {"seats-old", "seats-new"}) {
        for (const char* zone : {"brazos-a", "brazos-b"}) {
            played.add(zone, {service});
        }
    }
    played.configure(document(1, "seats-old", keys_before));
    if (!played.start()) {
        return exit_not_run;
    }
    const findings before = ask_everywhere(played, "key-of-integration-0");
    if (before.served == 0 || before.refused_with_401 > 0) {
        played.log().line("the first version is not served");
        return exit_not_run;
    }
    const int count = with_trouble() ? keys_before + 2 : keys_before + 1;
    played.configure(document(2, "seats-new", count));
    sleep_s(config_apply_s + 1.0);
    const findings after =
        ask_everywhere(played, "key-of-integration-" + std::to_string(count - 1));
    played.log().line(std::to_string(after.run_by_old_service) +
                      " requests were run by the old service and " +
                      std::to_string(after.refused_with_401) +
                      " were refused with 401 though their key is in force");
    return after.run_by_old_service + after.refused_with_401 > 0 ? exit_broken : exit_held;
}
