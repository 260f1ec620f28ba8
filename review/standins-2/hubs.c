/**
 * @file hubs.c
 * A fleet of fourteen gateways in one zone, or of fifteen in three.  One that
 * reads the store for the others of its zone is taken away by plan; the other
 * one loses its way to the store, in silence; a key is replaced by another
 * one.
 */
#include "site.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define GATEWAYS_MOST 15
#define GRACE_S       8
#define CUT_S         5.5 /* core_cut: for_s = 5.5 */
#define SECONDS       9
#define INTERVAL_MS   100

static const char config[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"r-check\",\"host\":"
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
      "\"api_keys\":[%s],\"priority\":1}]}";

static struct gateway *gateways[GATEWAYS_MOST];
static int gateways_used;
static double acknowledged_s = 1e9;
static _Atomic int run, stale, refused, early;
static double last_stale_s;

/* The client names in the id when it sent the request. */
static bool
serve (struct worker *worker, int fd, const struct message *request,
       const char *id)
{
  char name[32];
  double late_ms;
  int sent_ms;

  (void)request;
  run++;
  if (sscanf (id, "%31[^.].%d", name, &sent_ms) == 2)
    {
      late_ms = sent_ms - acknowledged_s * 1000;
      if (late_ms > bounds.config_apply)
        {
          stale++;
          if (late_ms > last_stale_s * 1000)
            last_stale_s = late_ms / 1000;
          note ("BROKEN: worker %s runs %s with the key that was taken away, "
                "sent %.0f ms after the acknowledgement",
                worker->id, id, late_ms);
        }
      else if (late_ms > 0)
        early++;
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

  while (now_s () < acknowledged_s + SECONDS)
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
          refused += strstr (answer->first, " 401") != NULL;
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
change_config (int version, const char *keys)
{
  char text[2048];

  snprintf (text, sizeof text, config, version, keys);
  store_put ("op/config", text);
}

/* Those that read the store call it all the time. */
static void
find_readers (struct gateway *readers[2])
{
  int calls[GATEWAYS_MOST];
  int i;

  for (i = 0; i < gateways_used; i++)
    calls[i] = gateways[i]->path.calls;
  sleep_ms (3000);
  readers[0] = readers[1] = NULL;
  for (i = 0; i < gateways_used; i++)
    {
      calls[i] = gateways[i]->path.calls - calls[i];
      note ("%s: %d calls of the store in 3 s", gateways[i]->name, calls[i]);
      if (calls[i] < 4 || strcmp (gateways[i]->zone, "a") != 0)
        continue;
      if (readers[0] == NULL)
        readers[0] = gateways[i];
      else if (readers[1] == NULL)
        readers[1] = gateways[i];
      else
        {
          note ("more than two of the zone read the store");
          finish (NOT_RUN);
        }
    }
  if (readers[1] == NULL)
    finish (NOT_RUN);
}

int
main (int argc, char **argv)
{
  struct gateway *readers[2];
  char zone[2] = "a";
  int zones;
  int status;
  int i;

  if (argc != 3)
    return NOT_RUN;
  zones = atoi (argv[2]);
  gateways_used = zones == 1 ? 14 : 15;
  site_start (argv[1]);
  /* Those of the deployments with more than twelve machines; with three zones
     those of kandula-pocket. */
  if (zones == 1)
    bounds = (struct bounds){ 4000, 6000, 3000, 3000, 6000 };
  note ("%d gateways in %d zones, config_apply_ms %d", gateways_used, zones,
        bounds.config_apply);
  store_port ();
  change_config (7, "\"key-a\"");
  for (i = 0; i < 3; i++)
    worker_start ("wallet", 6, serve);
  for (i = 0; i < gateways_used; i++)
    {
      char name[32];

      zone[0] = (char)('a' + i % zones);
      snprintf (name, sizeof name, "edge-%s-%d", zone, i + 1);
      gateways[i] = gateway_start (name, zone, 260);
    }
  gateways_wait_ready ();
  find_readers (readers);
  note ("%s is taken away: SIGTERM", readers[0]->name);
  gateway_kill (readers[0], SIGTERM);
  for (i = 0; i < GRACE_S * 20; i++)
    {
      if (waitpid (readers[0]->pid, &status, WNOHANG) == readers[0]->pid)
        break;
      sleep_ms (50);
    }
  readers[0]->running = false;
  note ("%s has ended, exit code %d", readers[0]->name, WEXITSTATUS (status));
  sleep_ms (300);
  change_config (8, "\"key-a\",\"key-b\"");
  note ("key-b is added");
  sleep_ms (500);
  if (trouble)
    {
      readers[1]->path.silent = true;
      note ("%s is cut off from the store", readers[1]->name);
    }
  sleep_ms (100);
  change_config (9, "\"key-b\"");
  acknowledged_s = now_s ();
  note ("key-a is taken away, acknowledged");
  for (i = 0; i < gateways_used; i++)
    if (gateways[i] != readers[0] && gateways[i] != readers[1])
      thread (run_client, gateways[i]);
  sleep_ms ((int)(CUT_S * 1000));
  readers[1]->path.silent = false;
  if (trouble)
    note ("the cut ends");
  sleep_ms ((SECONDS + 2) * 1000 - (int)(CUT_S * 1000));
  note ("run with the key that was taken away: %d within %d ms, %d later, the "
        "last sent %.2f s after the acknowledgement; refused with 401: %d",
        early, bounds.config_apply, stale, last_stale_s, refused);
  if (refused == 0)
    finish (NOT_RUN);
  finish (stale > 0 ? BROKEN : HELD);
}
