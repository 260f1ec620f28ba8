/**
 * @file storeseed.c
 * Initial contents of the store server: registered upstreams and a
 * configuration.
 */
#include "support/storeseed.h"
#include <stdio.h>

void
storeseed_register (struct storeserver *store, unsigned int upstream,
                    uint16_t port, const char *state)
{
  char key[64];
  char value[256];

  snprintf (key, sizeof key, "servers/w-%u", upstream);
  snprintf (value, sizeof value,
            "{\"service\":\"s2\",\"address\":\"127.0.0.1:%u\",\"zone\":"
            "\"z%c\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}",
            port, 'a' + (char)upstream, state);
  storeserver_put (store, key, value);
}

void
storeseed_configure (struct storeserver *store, unsigned int version,
                     const char *keys, const char *service)
{
  static const char *const kinds[]
      = { "idempotent", "non_idempotent", "streaming", "streaming" };
  static const char *const names[] = { "again", "once", "stream", "resume" };
  char text[4096];
  size_t used;
  size_t i;

  used = (size_t)snprintf (
      text, sizeof text,
      "{\"version\":%u,\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":65536,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"services\":[{\"name\":\"s2\","
      "\"health_path\":\"/h\",\"max_connections\":96},{\"name\":\"s3\","
      "\"health_path\":\"/h\",\"max_connections\":96}],\"routes\":[",
      version);
  for (i = 0; i < 4; i++)
    used += (size_t)snprintf (
        text + used, sizeof text - used,
        "%s{\"name\":\"%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\","
        "\"route_type\":\"%s\",\"timeout_ms\":600,\"target_latency_ms\":300,"
        "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
        "\"auth_exempt\":false,\"resumable\":%s}",
        i == 0 ? "" : ",", names[i], names[i], kinds[i], service,
        i == 3 ? "true" : "false");
  snprintf (text + used, sizeof text - used,
            "],\"tenants\":[{\"name\":\"ana\",\"api_keys\":[%s]}]}", keys);
  storeserver_put (store, "op/config", text);
}
