/**
 * @file version.c
 * An operator numbers its configurations by the clock, in nanoseconds, and
 * takes a key away.
 */
#include "site.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS      3
#define FIRST_VERSION INT64_C (1765058400123456789)
#define STEP          61 /* "Versions increase in uneven steps." */
#define SECONDS       6
#define INTERVAL_MS   100

static const char config[]
    = "{\"version\":%" PRId64 ",\"routes\":[{\"name\":\"r-check\",\"host\":"
      "\"shop.example\",\"prefix\":\"/check/\",\"route_type\":"
      "\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,"
      "\"priority\":2,\"service\":\"wallet\",\"max_attempts\":2,"
      "\"auth_exempt\":false,\"session_affinity\":false,"
      "\"resumable\":false}],"
      "\"services\":[{\"name\":\"wallet\",\"health_path\":\"/health\","
      "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":410000},\"tenants\":[{\"name\":\"one\","
      "\"api_keys\":[%s\"key-b\"],\"priority\":1}]}";

static double acknowledged_s = 1e9;
static double until_s;
static _Atomic int run, stale, served;

static bool
serve (struct worker *worker, int fd, const struct message *request,
       const char *id)
{
  double late_ms;
  char name[32];
  int sent_ms;

  (void)request;
  run++;
  if (sscanf (id, "%31[^.].%d", name, &sent_ms) == 2)
    {
      late_ms = sent_ms - acknowledged_s * 1000;
      if (late_ms > bounds.config_apply)
        {
          stale++;
          note ("BROKEN: worker %s runs %s with the key that was taken away, "
                "sent %.0f ms after the acknowledgement",
                worker->id, id, late_ms);
        }
    }
  worker_answer (fd, "200 OK", id, "", "12.50");
  return true;
}

static void *
run_client (void *arg)
{
  struct gateway *gateway = arg;
  struct input *input = calloc (1, sizeof *input);
  struct message *answer = malloc (sizeof *answer);
  char text[512];
  char id[64];

  while (now_s () < until_s)
    {
      input->fd = dial (gateway->front);
      input->from = input->to = 0;
      snprintf (id, sizeof id, "%s.%.0f", gateway->name, now_s () * 1000);
      snprintf (text, sizeof text,
                "GET /check/a HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Attempt-Id: %s\r\nX-Credential: key-a\r\n"
                "X-Deadline-Remaining-Ms: 1000\r\n\r\n",
                id);
      if (input->fd >= 0 && send_all (input->fd, text, strlen (text))
          && read_message (input, answer, true))
        {
          served += strstr (answer->first, " 200") != NULL;
          note ("%s: %s", id, answer->first);
          message_free (answer);
        }
      if (input->fd >= 0)
        close (input->fd);
      sleep_ms (INTERVAL_MS);
    }
  free (input);
  free (answer);
  return NULL;
}

static void
change_config (int64_t version, const char *keys)
{
  char text[2048];

  snprintf (text, sizeof text, config, version, keys);
  store_put ("op/config", text);
  note ("version %" PRId64 " is acknowledged", version);
}

int
main (int argc, char **argv)
{
  int i;

  if (argc != 2)
    return NOT_RUN;
  site_start (argv[1]);
  until_s = now_s () + 60;
  store_port ();
  change_config (FIRST_VERSION, "\"key-a\",");
  for (i = 0; i < 3; i++)
    worker_start ("wallet", 6, serve);
  for (i = 0; i < GATEWAYS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "edge-a-%d", i + 1);
      thread (run_client, gateway_start (name, "a", 260));
    }
  gateways_wait_ready ();
  if (trouble)
    {
      change_config (FIRST_VERSION + STEP, "");
      acknowledged_s = now_s ();
      note ("key-a is taken away");
    }
  until_s = now_s () + SECONDS;
  sleep_ms (SECONDS * 1000 + 1500);
  note ("run %d, of these with the key that was taken away, sent over %d ms "
        "later, %d",
        run, bounds.config_apply, stale);
  if (run == 0)
    finish (NOT_RUN);
  finish (stale > 0 ? BROKEN : HELD);
}
