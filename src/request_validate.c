/**
 * @file request_validate.c
 * Validates a request on arrival and passes it to the dispatcher, or refuses
 * it at once.
 */
#include "request_int.h"
#include "suspects.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Result of validating a request. */
struct valid_request
{
  const struct catalog_customer *customer;
  const struct catalog_profile *profile;
  const struct catalog_service *service;
  struct client_path path;
  struct client_prompt prompt;
  const char *body;
  size_t body_size;
};

static void reply_probe (struct router *router, evhtp_request_t *http,
                         enum client_target target);
static void choose_id (struct router *router, evhtp_request_t *http,
                       char id[CLIENT_REQUEST_ID_SIZE]);
static bool is_probe (const struct client_path *path);
static enum refusal validate (struct router *router, evhtp_request_t *http,
                              struct valid_request *valid);
static enum refusal validate_head (struct router *router,
                                   evhtp_request_t *http,
                                   struct valid_request *valid);
static enum refusal validate_service (const evhtp_request_t *http,
                                      const struct valid_request *valid);
static enum refusal validate_body (evhtp_request_t *http,
                                   struct valid_request *valid);
static struct request *request_new (struct router *router,
                                    evhtp_request_t *http, const char *id,
                                    const struct valid_request *valid);
static char *upstream_path (evhtp_request_t *http,
                            const struct client_path *path);

void
request_arrived (void *user, evhtp_request_t *http)
{
  struct router *router = user;
  struct valid_request valid = { .customer = NULL };
  char id[CLIENT_REQUEST_ID_SIZE];
  struct request *request = NULL;
  enum refusal refusal;

  client_parse_path (http->uri->path->full, &valid.path);
  if (is_probe (&valid.path))
    {
      reply_probe (router, http, valid.path.target);
      return;
    }
  choose_id (router, http, id);
  refusal = validate (router, http, &valid);
  if (refusal == REFUSAL_NONE)
    request = request_new (router, http, id, &valid);
  if (request != NULL && !suspects_admit (request))
    {
      request_free (request);
      request = NULL;
      refusal = REFUSAL_QUARANTINED;
    }
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
  httpd_set_request_user (http, request);
  httpd_pause (http);
  router_handle_event (
      router, &(struct dispatch_event){
                  .kind = DISPATCH_ARRIVED,
                  .request = request_handle (request),
                  .u.arrival = { .customer_id = valid.customer->id,
                                 .profile_id = valid.profile->id,
                                 .input_tokens = valid.prompt.input_tokens,
                                 .prefix_hash = valid.prompt.prefix_hash },
              });
}

static void
reply_probe (struct router *router, evhtp_request_t *http,
             enum client_target target)
{
  bool healthy = target == CLIENT_TARGET_HEALTHZ || router_ready (router);

  evbuffer_add_printf (http->buffer_out, "%s\n", healthy ? "ok" : "not ready");
  evhtp_send_reply (http, healthy ? 200 : 503);
}

static void
choose_id (struct router *router, evhtp_request_t *http,
           char id[CLIENT_REQUEST_ID_SIZE])
{
  const char *given_id
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);

  if (given_id != NULL && client_request_id_valid (given_id))
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%s", given_id);
  else
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%016llx-%llx-%llx",
              (unsigned long long)router->self.instance_id,
              (unsigned long long)router->self.incarnation,
              (unsigned long long)++router->request_sequence);
}

static bool
is_probe (const struct client_path *path)
{
  return path->target == CLIENT_TARGET_HEALTHZ
         || path->target == CLIENT_TARGET_READYZ;
}

enum refusal
request_check_head (void *user, evhtp_request_t *http, uint64_t *customer_id)
{
  struct valid_request valid = { .customer = NULL };
  enum refusal refusal;

  *customer_id = 0;
  client_parse_path (http->uri->path->full, &valid.path);
  if (is_probe (&valid.path))
    return REFUSAL_NONE;
  refusal = validate_head (user, http, &valid);
  if (refusal == REFUSAL_NONE)
    *customer_id = valid.customer->id;
  return refusal;
}

static enum refusal
validate (struct router *router, evhtp_request_t *http,
          struct valid_request *valid)
{
  enum refusal refusal = validate_head (router, http, valid);

  if (refusal == REFUSAL_NONE)
    refusal = httpd_hold (http, valid->customer->id);
  return refusal == REFUSAL_NONE ? validate_body (http, valid) : refusal;
}

static enum refusal
validate_head (struct router *router, evhtp_request_t *http,
               struct valid_request *valid)
{
  const char *given_id
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);
  const char *profile
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_PROFILE);
  uint8_t digest[CATALOG_KEY_HASH_SIZE];

  if (router->draining)
    return REFUSAL_DRAINING;
  /* HTTP/1.0 has no chunked encoding, so a client could not tell a truncated
     response from a complete one. */
  if (http->proto != EVHTP_PROTO_11)
    return REFUSAL_HTTP_VERSION;
  if (!router_ready (router))
    return REFUSAL_NOT_READY;
  if (client_key_digest (evhtp_header_find (http->headers_in, "Authorization"),
                         digest)
      != 0)
    return REFUSAL_NO_KEY;
  valid->customer = catalog_customer_by_key (&router->catalog, digest);
  if (valid->customer == NULL)
    return REFUSAL_NO_KEY;
  if (given_id != NULL && !client_request_id_valid (given_id))
    return REFUSAL_BAD_REQUEST;
  if (valid->path.target == CLIENT_TARGET_UNKNOWN)
    return REFUSAL_NO_SERVICE;
  if (profile == NULL)
    return REFUSAL_PROFILE_MISSING;
  valid->profile = catalog_profile (&router->catalog, catalog_id (profile));
  if (valid->profile == NULL)
    return REFUSAL_NO_PROFILE;
  valid->service
      = catalog_service (&router->catalog, valid->profile->service_id);
  if (valid->service == NULL)
    return REFUSAL_NO_SERVICE;
  return validate_service (http, valid);
}

/* Checks that the path fits the profile's service, and that the request for an
   engine is a POST. */
static enum refusal
validate_service (const evhtp_request_t *http,
                  const struct valid_request *valid)
{
  if (valid->path.target == CLIENT_TARGET_PLAIN)
    return valid->service->kind == CATALOG_PLAIN
                   && strcmp (valid->path.service, valid->service->name) == 0
               ? REFUSAL_NONE
               : REFUSAL_NO_SERVICE;
  if (valid->service->kind != CATALOG_ENGINE)
    return REFUSAL_NO_SERVICE;
  return http->method == htp_method_POST ? REFUSAL_NONE : REFUSAL_BAD_REQUEST;
}

/* Checks that the body is a JSON object, if the service is an engine. */
static enum refusal
validate_body (evhtp_request_t *http, struct valid_request *valid)
{
  const size_t size = evbuffer_get_length (http->buffer_in);

  valid->body_size = size;
  valid->body
      = size == 0 ? "" : (const char *)evbuffer_pullup (http->buffer_in, -1);
  if (valid->body == NULL)
    return REFUSAL_ROUTER_FULL;
  return valid->path.target != CLIENT_TARGET_PLAIN
                 && client_parse_prompt (valid->body, size, &valid->prompt)
                        != 0
             ? REFUSAL_BAD_REQUEST
             : REFUSAL_NONE;
}

static struct request *
request_new (struct router *router, evhtp_request_t *http, const char *id,
             const struct valid_request *valid)
{
  struct request *request = calloc (1, sizeof (*request));
  struct metrics_customer_service *counts = metrics_customer_service (
      &router->metrics, valid->customer->id, valid->service->id);

  if (request == NULL || counts == NULL)
    {
      free (request);
      return NULL;
    }
  request->router = router;
  request->reply.http = http;
  memcpy (request->id, id, sizeof (request->id));
  memcpy (request->customer, valid->customer->name,
          sizeof (request->customer));
  memcpy (request->profile, valid->profile->name, sizeof (request->profile));
  request->customer_id = valid->customer->id;
  request->service_id = valid->service->id;
  request->body = valid->body;
  request->body_size = valid->body_size;
  request->is_engine = valid->service->kind == CATALOG_ENGINE;
  request->idempotent = valid->profile->idempotent;
  request->resumable = request->is_engine && valid->service->resumable;
  request->arrival_ns = router_now_ns (router);
  request->path = upstream_path (http, &valid->path);
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

  if (asprintf (&out, "%s%s%s", path->upstream_path,
                query != NULL && *query != '\0' ? "?" : "",
                query != NULL ? (const char *)query : "")
      < 0)
    return NULL;
  return out;
}

void
request_refuse_unparsed (void *user, enum refusal refusal,
                         const char *request_id, struct evbuffer *out)
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
