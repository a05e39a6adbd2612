/* Configuration of the deployment in the cases.  */
#include "review.h"

/* Returns VERSION of the configuration, with the JSON list TENANTS, newly
   allocated.  */
char *
review_config (int version, const char *tenants)
{
  return g_strdup_printf (
      "{\"version\":%d,\"routes\":["
      "{\"name\":\"map-read\",\"host\":\"shop.example\","
      "\"path_prefix\":\"/map/\",\"route_type\":\"idempotent\","
      "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,"
      "\"service\":\"reservas\",\"max_attempts\":2},"
      "{\"name\":\"fee-charge\",\"host\":\"shop.example\","
      "\"path_prefix\":\"/fee/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,"
      "\"service\":\"reservas\",\"max_attempts\":1},"
      "{\"name\":\"season-plan\",\"host\":\"shop.example\","
      "\"path_prefix\":\"/plan/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":15000,\"target_latency_ms\":800,\"target_gap_ms\":400,"
      "\"priority\":1,\"service\":\"asistente\",\"max_attempts\":2,"
      "\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"pitch-tag\",\"host\":\"shop.example\","
      "\"path_prefix\":\"/tag/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":3000,\"target_latency_ms\":400,\"target_gap_ms\":400,"
      "\"priority\":2,\"service\":\"asistente\",\"max_attempts\":2,"
      "\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"rules-answer\",\"host\":\"shop.example\","
      "\"path_prefix\":\"/rules/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":12000,\"target_latency_ms\":400,\"target_gap_ms\":400,"
      "\"priority\":0,\"service\":\"asistente\",\"max_attempts\":1,"
      "\"session_affinity\":true}],"
      "\"services\":[{\"name\":\"reservas\"},{\"name\":\"asistente\"}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
      "\"tenants\":%s}",
      version, tenants);
}
