/* CONFIG: a version that the store accepted never comes into force.

   The operator writes a version that splits one route over nine services and
   takes a key away.  The gateways go on with the version before.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define APPLY_MS 2000 /* bounds.config_apply_ms */
#define GATEWAYS 3
#define ASK_FOR_MS 10000 /* after that */

static int old_key_runs;
static int new_key_runs;

static bool
serve (struct server_request *request)
{
  char customer[64];

  if (!read_body (request))
    return false;
  if (header (request->head, "X-Tenant", customer, sizeof customer) == NULL)
    customer[0] = '\0';
  record ("server: runs %s %s, id %s, of tenant %s", request->method,
          request->path, request->id, customer);
  if (strcmp (customer, "t-old") == 0)
    old_key_runs++;
  else
    new_key_runs++;
  return send_ok (request, "done");
}

/* Writes a version with a route /once/ to the service "api" and a route
   /canary/ that is split over `parts' services. */
static void
put_version (int version, const char *tenants, int parts)
{
  char text[8192];
  int size;
  int i;

  size = snprintf (text, sizeof text,
                   "{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
                   "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                   "\"idle_timeout_ms\":15000,\"tokens_per_s\":410000},"
                   "\"tenants\":[%s],"
                   "\"services\":[{\"name\":\"api\","
                   "\"health_path\":\"/health\"}",
                   version, tenants);
  for (i = 1; i <= 9; i++)
    size += snprintf (text + size, sizeof text - (size_t)size,
                      ",{\"name\":\"pool-%d\",\"health_path\":\"/health\"}",
                      i);
  size += snprintf (
      text + size, sizeof text - (size_t)size,
      "],\"routes\":[{\"name\":\"once\",\"host\":\"shop.example\","
      "\"prefix\":\"/once/\",\"service\":\"api\",\"route_type\":"
      "\"non_idempotent\",\"max_attempts\":1,\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"priority\":1},"
      "{\"name\":\"canary\",\"host\":\"shop.example\",\"prefix\":"
      "\"/canary/\",\"traffic_split\":[");
  for (i = 1; i <= parts; i++)
    size += snprintf (text + size, sizeof text - (size_t)size,
                      "%s{\"service\":\"pool-%d\",\"weight\":10}",
                      i == 1 ? "" : ",", i);
  snprintf (text + size, sizeof text - (size_t)size,
            "],\"route_type\":\"idempotent\",\"max_attempts\":2,"
            "\"timeout_ms\":2000,\"target_latency_ms\":300,"
            "\"priority\":1}]}");
  store_put ("op/config", text);
  record ("operator: version %d is acknowledged, tenants %s, /canary/ split "
          "over %d services",
          version, tenants, parts);
}

static int
ask (const struct gateway *gateway, const char *key, const char *id)
{
  struct answer answer;
  char text[512];
  int fd = client_connect (gateway);
  int size = snprintf (text, sizeof text,
                       "POST /once/pay HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: %s\r\n"
                       "X-Deadline-Remaining-Ms: 1500\r\n"
                       "X-Credential: %s\r\nContent-Length: 0\r\n\r\n",
                       id, key);

  send_all (fd, text, (size_t)size);
  read_answer (fd, &answer, 2500);
  record ("client: %s with %s gets %d", id, key, answer.status);
  close_channel (fd);
  free (answer.body);
  return answer.status;
}

int
main (void)
{
  struct gateway gateways[GATEWAYS];
  char name[32];
  double end;
  int refused = 0;
  int round;
  int i;

  store_start ();
  put_version (1, "{\"name\":\"t-old\",\"api_keys\":[\"key-old\"]}", 8);
  server_start ("i-1", "api", 0, serve);
  for (i = 0; i < GATEWAYS; i++)
    {
      snprintf (name, sizeof name, "gate-%d", i + 1);
      gateway_start (&gateways[i], name);
    }
  for (i = 0; i < GATEWAYS; i++)
    {
      snprintf (name, sizeof name, "before-%d", i + 1);
      if (ask (&gateways[i], "key-old", name) != 200)
        cannot ("gateway %d does not serve version 1", i + 1);
    }
  sleep_ms (4000); /* longer than contact_ms */
  old_key_runs = 0;
  put_version (2, "{\"name\":\"t-new\",\"api_keys\":[\"key-new\"]}",
               trouble () ? 9 : 8);
  sleep_ms (APPLY_MS + 500);
  end = now_ms () + ASK_FOR_MS;
  for (round = 0; now_ms () < end; round++)
    {
      for (i = 0; i < GATEWAYS; i++)
        {
          snprintf (name, sizeof name, "old-%d-%d", round, i + 1);
          ask (&gateways[i], "key-old", name);
          snprintf (name, sizeof name, "new-%d-%d", round, i + 1);
          refused += ask (&gateways[i], "key-new", name) == 401;
        }
      sleep_ms (1000);
    }
  return finish (old_key_runs > 0 || refused > 0,
                 "later than %d ms after the acknowledgement: %d requests ran "
                 "with the key that was taken away, %d with the new one, %d "
                 "with the new one got 401",
                 APPLY_MS, old_key_runs, new_key_runs, refused);
}
