/**
 * @file client.c
 * One client of a flow.
 */
#include "client.h"
#include "load.h"
#include "response_check.h"
#include "standin/address.h"
#include "standin/interval.h"
#include "standin/record.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_OVERHEAD       256 /**< bytes, JSON around the prompt */
#define REQUEST_TIMEOUT_S   120
#define REFUSED_BODY_MAX    4096 /**< bytes kept of an error response */
#define FAULT_SLACK_MS      1000 /**< fault may precede fault_ms by this */
#define RECONNECT_US        100000
#define PROMPT_RANDOM_BYTES 16

struct client
{
  struct load *load;
  const struct flow *flow;
  struct evhttp_connection *connection;
  struct evhttp_request *request;
  struct event *timer;
  struct response_check response_check;
  /** Counts up at each failure.  Modulo the number of routers, an index into
      the routers of the flow or, if it has none, of the run. */
  uint32_t router_position;
  uint32_t sent_count;
  uint64_t sent_ns;
  uint64_t first_byte_ns; /**< 0: no body byte received yet */
  char request_id[RECORD_NAME_SIZE];
  char *prompt;
  char *body;
  bool reconnect; /**< before the next request */
};

static void on_timer (evutil_socket_t fd, short events, void *user);
static void on_chunk (struct evhttp_request *request, void *user);
static void on_done (struct evhttp_request *request, void *user);
static void schedule_timer (struct client *client, uint64_t delay_us);
static uint64_t time_to_burst_ms (const struct client *client);
static uint32_t router_index (const struct client *client);
static void connect_router (struct client *client);
static void send_request (struct client *client);
static void make_engine_request (struct client *client);
static void make_plain_request (struct client *client);
static void add_headers (struct client *client,
                         struct evhttp_request *request);
static enum flow_outcome classify_response (struct client *client,
                                            struct evhttp_request *request);
static enum flow_outcome classify_refusal (struct evhttp_request *request);
static void record_outcome (struct client *client, enum flow_outcome outcome);
static void schedule_next_request (struct client *client,
                                   enum flow_outcome outcome);

struct client *
client_new (struct load *load, const struct flow *flow, uint32_t index)
{
  struct client *client = calloc (1, sizeof (*client));

  client->load = load;
  client->flow = flow;
  client->router_position = index;
  client->timer = evtimer_new (load->base, on_timer, client);
  client->prompt = malloc ((size_t)flow->prompt_bytes + PROMPT_RANDOM_BYTES
                           + RECORD_NAME_SIZE + 1);
  client->body = malloc ((size_t)flow->prompt_bytes + PROMPT_RANDOM_BYTES
                         + RECORD_NAME_SIZE + BODY_OVERHEAD);
  response_check_init (&client->response_check);
  return client;
}

void
client_free (struct client *client)
{
  if (client->connection != NULL)
    evhttp_connection_free (client->connection);
  event_free (client->timer);
  response_check_finish (&client->response_check);
  free (client->prompt);
  free (client->body);
  free (client);
}

int
client_is_busy (const struct client *client)
{
  return client->request != NULL;
}

/* In an open loop, the clients start at random times within one interval
   between two requests of a client, so that they do not send all at once. */
void
client_start (struct client *client)
{
  const struct flow *flow = client->flow;
  uint64_t delay_us = (uint64_t)flow->start_ms * 1000;

  if (flow->rate > 0)
    delay_us += load_random (client->load)
                % ((uint64_t)flow->concurrency * 1000000 / flow->rate + 1);
  schedule_timer (client, delay_us);
}

void
client_abandon_request (struct client *client)
{
  if (client->request == NULL)
    return;
  client->request = NULL;
  record_outcome (client, FLOW_NO_RESPONSE);
}

static void
on_timer (evutil_socket_t fd, short events, void *user)
{
  struct client *client = user;
  uint64_t wait_ms;

  (void)fd;
  (void)events;
  if (client->load->stopping || client->request != NULL)
    return;
  if (client->flow->limit > 0 && client->sent_count >= client->flow->limit)
    return;
  if (client->flow->stop_ms > 0
      && load_elapsed_ms (client->load) >= client->flow->stop_ms)
    return;
  wait_ms = time_to_burst_ms (client);
  if (wait_ms > 0)
    schedule_timer (client, wait_ms * 1000);
  else
    send_request (client);
}

/* Time until the flow's next burst; 0 during a burst or without bursts. */
static uint64_t
time_to_burst_ms (const struct client *client)
{
  const struct flow *flow = client->flow;
  uint64_t period_ms = (uint64_t)flow->on_ms + flow->off_ms;
  uint64_t phase_ms;

  if (flow->on_ms == 0 || flow->off_ms == 0)
    return 0;
  phase_ms = (load_elapsed_ms (client->load) - flow->start_ms) % period_ms;
  return phase_ms < flow->on_ms ? 0 : period_ms - phase_ms;
}

static void
schedule_timer (struct client *client, uint64_t delay_us)
{
  const struct timeval delay = interval_us (delay_us);

  evtimer_add (client->timer, &delay);
}

static uint32_t
router_index (const struct client *client)
{
  const struct flow *flow = client->flow;

  if (flow->router_count == 0)
    return client->router_position % client->load->options.router_count;
  return flow->routers[client->router_position % flow->router_count];
}

static void
connect_router (struct client *client)
{
  const char *address = client->load->options.routers[router_index (client)];
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;

  if (client->connection != NULL)
    evhttp_connection_free (client->connection);
  client->connection = NULL;
  client->reconnect = false;
  if (address_parse (address, host, &port) != 0)
    return;
  client->connection
      = evhttp_connection_base_new (client->load->base, NULL, host, port);
  evhttp_connection_set_timeout (client->connection, REQUEST_TIMEOUT_S);
}

static void
send_request (struct client *client)
{
  const struct flow *flow = client->flow;
  struct load *load = client->load;
  struct evhttp_request *request;
  char path[FLOW_NAME_SIZE + 32] = "/v1/completions";

  if (client->connection == NULL || client->reconnect)
    connect_router (client);
  snprintf (client->request_id, sizeof (client->request_id),
            "%.32s-%" PRIu32 "-%" PRIu64, flow->name, load->options.seed,
            load->next_id++);
  if (flow->kind == FLOW_PLAIN)
    {
      make_plain_request (client);
      snprintf (path, sizeof (path), "%s%s/check",
                flow->service[0] == '\0' ? "" : "/services/", flow->service);
    }
  else
    {
      make_engine_request (client);
      if (flow->chat)
        snprintf (path, sizeof (path), "/v1/chat/completions");
    }
  request = evhttp_request_new (on_done, client);
  evhttp_request_set_chunked_cb (request, on_chunk);
  add_headers (client, request);
  evbuffer_add (evhttp_request_get_output_buffer (request), client->body,
                strlen (client->body));
  client->request = request;
  client->sent_count++;
  client->sent_ns = record_now_ns ();
  client->first_byte_ns = 0;
  flow->customer->sent++;
  flow->customer->outstanding[flow->kind]++;
  if (flow->streamed)
    sample_request_sent (load, flow->customer, router_index (client));
  evhttp_make_request (client->connection, request, EVHTTP_REQ_POST, path);
}

static void
make_engine_request (struct client *client)
{
  const struct flow *flow = client->flow;
  uint64_t random_value = load_random (client->load);
  uint32_t output = flow->output_min;
  int length;

  if (flow->output_max > flow->output_min)
    output += (uint32_t)(random_value
                         % (flow->output_max - flow->output_min + 1));
  if (flow->long_permille > 0
      && load_random (client->load) % 1000 < flow->long_permille)
    output = flow->long_tokens;
  length = snprintf (client->prompt, PROMPT_RANDOM_BYTES + 1, "%016" PRIx64,
                     random_value);
  if (flow->prompt_bytes > (uint32_t)length)
    memset (client->prompt + length, 'p',
            flow->prompt_bytes - (uint32_t)length);
  client->prompt[flow->prompt_bytes > (uint32_t)length ? flow->prompt_bytes
                                                       : (uint32_t)length]
      = '\0';
  if (flow->chat)
    sprintf (client->body,
             "{\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],"
             "\"max_tokens\":%" PRIu32 ",\"stream\":%s}",
             client->prompt, output, flow->streamed ? "true" : "false");
  else
    sprintf (client->body,
             "{\"prompt\":\"%s\",\"max_tokens\":%" PRIu32 ",\"stream\":%s}",
             client->prompt, output, flow->streamed ? "true" : "false");
  response_check_expect_engine (&client->response_check, flow,
                                client->request_id, client->prompt,
                                strlen (client->prompt), output);
}

static void
make_plain_request (struct client *client)
{
  sprintf (client->body, "{\"check\":\"%016" PRIx64 "\"}",
           load_random (client->load));
  response_check_expect_plain (&client->response_check, client->request_id,
                               "POST", "/check", client->body,
                               strlen (client->body));
}

static void
add_headers (struct client *client, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  const struct flow *flow = client->flow;
  char authorization[FLOW_NAME_SIZE + 16];

  snprintf (authorization, sizeof (authorization), "Bearer %s", flow->key);
  evhttp_add_header (headers, "Host", "localhost");
  evhttp_add_header (headers, "Authorization", authorization);
  /* Without a profile, the requests go directly to an upstream, which takes
     the customer from this header. */
  if (flow->profile[0] == '\0')
    evhttp_add_header (headers, "Cherrylanding-Customer", flow->name);
  else
    evhttp_add_header (headers, "Cherrylanding-Profile", flow->profile);
  evhttp_add_header (headers, "Cherrylanding-Request-Id", client->request_id);
  evhttp_add_header (headers, "Content-Type", "application/json");
}

static void
on_chunk (struct evhttp_request *request, void *user)
{
  struct client *client = user;
  struct evbuffer *data = evhttp_request_get_input_buffer (request);

  if (evhttp_request_get_response_code (request) != HTTP_OK)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  if (client->first_byte_ns == 0)
    {
      client->first_byte_ns = record_now_ns ();
      if (client->flow->streamed)
        sample_request_started (client->load, client->flow->customer,
                                router_index (client));
    }
  response_check_compare (&client->response_check, data);
}

static void
on_done (struct evhttp_request *request, void *user)
{
  struct client *client = user;
  enum flow_outcome outcome = classify_response (client, request);

  client->request = NULL;
  record_outcome (client, outcome);
  schedule_next_request (client, outcome);
}

static enum flow_outcome
classify_response (struct client *client, struct evhttp_request *request)
{
  const char *id;

  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      if (client->first_byte_ns == 0)
        return FLOW_NO_RESPONSE;
      return client->response_check.mismatched ? FLOW_MISMATCHED
                                               : FLOW_TRUNCATED;
    }
  if (evhttp_request_get_response_code (request) != HTTP_OK)
    return classify_refusal (request);
  id = evhttp_find_header (evhttp_request_get_input_headers (request),
                           "Cherrylanding-Request-Id");
  if (id == NULL || strcmp (id, client->request_id) != 0)
    return FLOW_MISMATCHED;
  return response_check_outcome (&client->response_check);
}

static enum flow_outcome
classify_refusal (struct evhttp_request *request)
{
  const char *verdict = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Cherrylanding-Verdict");

  if (verdict == NULL)
    return FLOW_REFUSED_NO_VERDICT;
  if (strcmp (verdict, "not-run") == 0)
    return FLOW_REFUSED_NOT_RUN;
  if (strcmp (verdict, "may-have-run") == 0)
    return FLOW_REFUSED_MAY_HAVE_RUN;
  return strcmp (verdict, "ran") == 0 ? FLOW_REFUSED_RAN
                                      : FLOW_REFUSED_NO_VERDICT;
}

static void
record_outcome (struct client *client, enum flow_outcome outcome)
{
  const struct flow *flow = client->flow;
  struct flow_customer *customer = flow->customer;
  struct load *load = client->load;
  uint64_t now_ns = record_now_ns ();
  bool failed = outcome == FLOW_TRUNCATED || outcome == FLOW_NO_RESPONSE;

  customer->outstanding[flow->kind]--;
  if (failed && router_index (client) == load->options.lost_router
      && load_elapsed_ms (load) + FAULT_SLACK_MS >= load->options.fault_ms)
    customer->lost_with_router++;
  else
    customer->outcomes[outcome]++;
  if (!load->options.no_verify)
    verify_add (&load->verify, client->request_id, flow->kind, outcome,
                flow->idempotent);
  if (flow->streamed && client->first_byte_ns == 0)
    sample_request_failed (load, customer, router_index (client));
  if (outcome != FLOW_COMPLETE
      || load_elapsed_ms (load) < load->options.warmup_ms)
    return;
  series_add (&customer->total_us, (now_ns - client->sent_ns) / 1000);
  series_add (&customer->first_byte_us,
              ((client->first_byte_ns == 0 ? now_ns : client->first_byte_ns)
               - client->sent_ns)
                  / 1000);
}

static void
schedule_next_request (struct client *client, enum flow_outcome outcome)
{
  const struct flow *flow = client->flow;
  uint64_t now_ns = record_now_ns ();
  uint64_t due_ns;

  if (outcome == FLOW_TRUNCATED || outcome == FLOW_NO_RESPONSE)
    {
      client->router_position++;
      client->reconnect = true;
      schedule_timer (client, RECONNECT_US);
    }
  else if (outcome != FLOW_COMPLETE)
    schedule_timer (client, (uint64_t)client->load->options.retry_ms * 1000);
  else if (flow->rate > 0)
    {
      due_ns = client->sent_ns
               + (uint64_t)flow->concurrency * 1000000000 / flow->rate;
      schedule_timer (client, due_ns > now_ns ? (due_ns - now_ns) / 1000 : 0);
    }
  else
    schedule_timer (client, (uint64_t)flow->think_ms * 1000);
}
