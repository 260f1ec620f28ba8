/**
 * @file request_intake.c
 * Checks a request as it arrives and hands it to the dispatcher, or refuses
 * it at once.
 */
#include "request_int.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** What a request is checked into before it is queued. */
struct intake
{
  const struct catalog_customer *customer;
  const struct catalog_profile *profile;
  const struct catalog_service *service;
  struct client_path path;
  struct client_prompt prompt;
  const char *body;
  size_t body_size;
};

static void answer_probe (struct router *router, evhtp_request_t *http,
                          enum client_target target);
static void choose_id (struct router *router, evhtp_request_t *http,
                       char id[CLIENT_REQUEST_ID_SIZE]);
static enum refusal take_in (struct router *router, evhtp_request_t *http,
                             struct intake *intake);
static enum refusal check_service (struct router *router,
                                   evhtp_request_t *http,
                                   struct intake *intake);
static struct request *request_new (struct router *router,
                                    evhtp_request_t *http, const char *id,
                                    const struct intake *intake);
static char *upstream_path (evhtp_request_t *http,
                            const struct client_path *path);

void
request_arrived (void *user, evhtp_request_t *http)
{
  struct router *router = user;
  struct intake intake = { .customer = NULL };
  char id[CLIENT_REQUEST_ID_SIZE];
  struct request *request = NULL;
  enum refusal refusal;

  client_parse_path (http->uri->path->full, &intake.path);
  if (intake.path.target == CLIENT_HEALTHZ
      || intake.path.target == CLIENT_READYZ)
    {
      answer_probe (router, http, intake.path.target);
      return;
    }
  choose_id (router, http, id);
  refusal = take_in (router, http, &intake);
  if (refusal == REFUSAL_NONE)
    request = request_new (router, http, id, &intake);
  if (request == NULL)
    {
      refusal = refusal == REFUSAL_NONE ? REFUSAL_ROUTER_FULL : refusal;
      metrics_refused (&router->metrics, refusal);
      request_reply_refuse (http, id, refusal, VERDICT_NOT_RUN);
      LOG (LOG_REQUEST_REFUSED, id,
           LOG_S ("reason", refusal_info (refusal)->code),
           LOG_U ("status", refusal_info (refusal)->status),
           LOG_S ("verdict", verdict_name (VERDICT_NOT_RUN)));
      return;
    }
  httpd_bind (http, request);
  httpd_hold (http);
  router_handle (router,
                 &(struct dispatch_event){
                     .kind = DISPATCH_ARRIVED,
                     .request = request_handle (request),
                     .u.arrival = { .customer_id = intake.customer->id,
                                    .profile_id = intake.profile->id,
                                    .input_tokens = intake.prompt.input_tokens,
                                    .prefix_hash = intake.prompt.prefix_hash },
                 });
}

static void
answer_probe (struct router *router, evhtp_request_t *http,
              enum client_target target)
{
  bool up = target == CLIENT_HEALTHZ || router_ready (router);

  evbuffer_add_printf (http->buffer_out, "%s\n", up ? "ok" : "not ready");
  evhtp_send_reply (http, up ? 200 : 503);
}

static void
choose_id (struct router *router, evhtp_request_t *http,
           char id[CLIENT_REQUEST_ID_SIZE])
{
  const char *given
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);

  if (given != NULL && client_request_id_valid (given))
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%s", given);
  else
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%016llx-%llx-%llx",
              (unsigned long long)router->self.instance_id,
              (unsigned long long)router->self.incarnation,
              (unsigned long long)++router->request_sequence);
}

static enum refusal
take_in (struct router *router, evhtp_request_t *http, struct intake *intake)
{
  const char *given
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);
  const char *profile
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_PROFILE);
  uint8_t digest[CATALOG_KEY_HASH_SIZE];

  if (router->draining)
    return REFUSAL_DRAINING;
  /* Without chunks a cut response could not be told from a whole one. */
  if (http->proto != EVHTP_PROTO_11)
    return REFUSAL_HTTP_VERSION;
  if (!router_ready (router))
    return REFUSAL_NOT_READY;
  if (client_key_digest (evhtp_header_find (http->headers_in, "Authorization"),
                         digest)
      != 0)
    return REFUSAL_NO_KEY;
  intake->customer = catalog_customer_by_key (&router->catalog, digest);
  if (intake->customer == NULL)
    return REFUSAL_NO_KEY;
  if (given != NULL && !client_request_id_valid (given))
    return REFUSAL_BAD_REQUEST;
  if (intake->path.target == CLIENT_UNKNOWN)
    return REFUSAL_NO_SERVICE;
  if (profile == NULL)
    return REFUSAL_PROFILE_MISSING;
  intake->profile = catalog_profile (&router->catalog, catalog_id (profile));
  if (intake->profile == NULL)
    return REFUSAL_NO_PROFILE;
  intake->service
      = catalog_service (&router->catalog, intake->profile->service_id);
  if (intake->service == NULL)
    return REFUSAL_NO_SERVICE;
  return check_service (router, http, intake);
}

/* The path must ask for what the profile's service is, and an engine's body
   must be an object. */
static enum refusal
check_service (struct router *router, evhtp_request_t *http,
               struct intake *intake)
{
  size_t size = evbuffer_get_length (http->buffer_in);

  (void)router;
  intake->body_size = size;
  intake->body
      = size == 0 ? "" : (const char *)evbuffer_pullup (http->buffer_in, -1);
  if (intake->body == NULL)
    return REFUSAL_ROUTER_FULL;
  if (intake->path.target == CLIENT_PLAIN)
    return intake->service->kind == CATALOG_PLAIN
                   && strcmp (intake->path.service, intake->service->name) == 0
               ? REFUSAL_NONE
               : REFUSAL_NO_SERVICE;
  if (intake->service->kind != CATALOG_ENGINE)
    return REFUSAL_NO_SERVICE;
  if (http->method != htp_method_POST
      || client_parse_prompt (intake->body, size, &intake->prompt) != 0)
    return REFUSAL_BAD_REQUEST;
  return REFUSAL_NONE;
}

static struct request *
request_new (struct router *router, evhtp_request_t *http, const char *id,
             const struct intake *intake)
{
  struct request *request = calloc (1, sizeof (*request));
  struct metrics_customer_service *counts = metrics_customer_service (
      &router->metrics, intake->customer->id, intake->service->id);

  if (request == NULL || counts == NULL)
    {
      free (request);
      return NULL;
    }
  request->router = router;
  request->reply.http = http;
  memcpy (request->id, id, sizeof (request->id));
  memcpy (request->customer, intake->customer->name,
          sizeof (request->customer));
  memcpy (request->profile, intake->profile->name, sizeof (request->profile));
  request->customer_id = intake->customer->id;
  request->service_id = intake->service->id;
  request->body = intake->body;
  request->body_size = intake->body_size;
  request->engine = intake->service->kind == CATALOG_ENGINE;
  request->idempotent = intake->profile->idempotent;
  request->resumable = request->engine && intake->service->resumable;
  request->arrival_ns = router_now_ns (router);
  request->path = upstream_path (http, &intake->path);
  if (request->path == NULL)
    {
      free (request);
      return NULL;
    }
  counts->accepted++;
  return request;
}

static char *
upstream_path (evhtp_request_t *http, const struct client_path *path)
{
  const unsigned char *query = http->uri->query_raw;
  char *out = NULL;

  if (asprintf (&out, "%s%s%s", path->rest,
                query != NULL && *query != '\0' ? "?" : "",
                query != NULL ? (const char *)query : "")
      < 0)
    return NULL;
  return out;
}

void
request_refuse_raw (void *user, enum refusal refusal, const char *request_id,
                    struct evbuffer *out)
{
  struct router *router = user;

  if (request_id == NULL || !client_request_id_valid (request_id))
    request_id = "none";
  metrics_refused (&router->metrics, refusal);
  client_refusal_response (out, refusal, request_id);
  LOG (LOG_REQUEST_REFUSED, request_id,
       LOG_S ("reason", refusal_info (refusal)->code),
       LOG_U ("status", refusal_info (refusal)->status),
       LOG_S ("verdict", verdict_name (VERDICT_NOT_RUN)));
}
