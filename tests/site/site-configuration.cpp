#include "site-configuration.h"

namespace masticlever::site
{

std::string demoConfiguration()
{
    const auto route = [](const std::string &name, const std::string &kind, const std::string &more) {
        return R"({"name":")" + name + R"(","host":"site.example","path_prefix":"/)" + name + R"(/","kind":")" + kind
            + R"(","timeout_ms":4000,"target_latency_ms":1000,"priority":1,)" + more + "}";
    };
    const std::string stage
        = R"("health_path":"/h","max_conns":64,"pieces":{"slots":1,"queue":2,"batch":4,"call_ms":20,"item_ms":1,)"
          R"("headroom_mb":20,"handle_s":4}})";
    return R"({"version":1,"routes":[)" + route("safe", "safe", R"("service":"desk","max_attempts":2)") + ","
        + route("order", "unsafe", R"("service":"desk","max_attempts":2)") + ","
        + route("chat", "streaming",
                R"("service":"model","max_attempts":3,"resumable":true,"sticky":true,"stages":[)"
                R"({"service":"encode","bytes":100},{"service":"rank","after":[0],"bytes":50}])")
        + R"(],"services":[{"name":"desk","health_path":"/h","max_conns":64},)"
          R"({"name":"model","health_path":"/h","max_conns":64,"engine":{"slots":8,"stride":1}},{"name":"encode",)"
        + stage + R"(,{"name":"rank",)" + stage + R"(],"limits":{"max_header_bytes":4096,"max_body_bytes":65536,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["key-1"]}]})";
}

} // namespace masticlever::site
