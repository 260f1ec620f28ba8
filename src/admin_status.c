/**
 * @file admin_status.c
 * Status of the instance and its fleet, drain, health checks and metrics.
 */
#include "admin_int.h"
#include "confstore_module.h"
#include "coordination/fleet.h"
#include "peers.h"
#include "protocol/metrics_text.h"
#include "transport/log.h"
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>

static json_t *describe_store (const struct router *router);
static json_t *describe_members (const struct router *router);
static json_t *describe_member (const struct router *router,
                                const struct member *member);
static json_t *describe_services (const struct router *router);
static json_t *describe_upstreams (const struct router *router,
                                   const struct catalog_service *service);
static json_t *describe_customers (const struct router *router);
static json_t *
describe_customer_service (const struct router *router,
                           const struct metrics_customer_service *counts);
static const struct member_table *members_of (const struct router *router);
static void reply_text (struct evhttp_request *http, int status,
                        const char *content_type, const char *text,
                        size_t size);

static const char *const state_names[MESSAGE_INSTANCE_STATE_MAX]
    = { [MESSAGE_INSTANCE_STARTING] = "starting",
        [MESSAGE_INSTANCE_LIVE] = "live",
        [MESSAGE_INSTANCE_DRAINING] = "draining" };

static const char *const status_names[MEMBER_STATUS_MAX]
    = { [MEMBER_ALIVE] = "alive",
        [MEMBER_SUSPECT] = "suspect",
        [MEMBER_GONE] = "gone" };

void
admin_status (struct admin_request *request)
{
  const struct router *router = request->router;
  const struct confsync *sync
      = confstore_confsync (confstore_module_get (router));
  enum message_instance_state state = MESSAGE_INSTANCE_STARTING;

  if (router->draining)
    state = MESSAGE_INSTANCE_DRAINING;
  else if (router_ready (router))
    state = MESSAGE_INSTANCE_LIVE;
  admin_reply (
      request->http, HTTP_OK,
      json_pack ("{s:s, s:s, s:s, s:I, s:s, s:I, s:I, s:I, s:o, s:o, s:o, "
                 "s:o}",
                 "instance", router->self.instance, "fleet",
                 router->settings->router->fleet, "availability_zone",
                 router->self.availability_zone, "incarnation",
                 (json_int_t)router->self.incarnation, "state",
                 state_names[state], "config_index",
                 (json_int_t)confsync_complete_index (sync), "waiting",
                 (json_int_t)dispatch_waiting (router->dispatch), "running",
                 (json_int_t)(dispatch_total (router->dispatch)
                              - dispatch_waiting (router->dispatch)),
                 "store", describe_store (router), "members",
                 describe_members (router), "services",
                 describe_services (router), "customers",
                 describe_customers (router)));
}

static json_t *
describe_store (const struct router *router)
{
  const struct confstore *confstore = confstore_module_get (router);
  const struct confstore_counters *counters = confstore_counters (confstore);
  const struct kvstore *store = confstore_module_store (router);

  return json_pack (
      "{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "kind",
      store->ops->name, "up", confstore_store_up (confstore), "reads",
      (json_int_t)store->counters.reads, "writes",
      (json_int_t)store->counters.writes, "watches",
      (json_int_t)store->counters.watches, "rate_limited",
      (json_int_t)store->counters.rate_limited, "unreadable",
      (json_int_t)store->counters.unreadable, "failures",
      (json_int_t)counters->failures, "reverted",
      (json_int_t)counters->store_reverts, "rejected",
      (json_int_t)counters->rejected, "conflicts",
      (json_int_t)counters->conflicts, "unknown",
      (json_int_t)counters->unknown);
}

static json_t *
describe_members (const struct router *router)
{
  const struct member_table *members = members_of (router);
  const struct member *member;
  json_t *out = json_array ();

  if (members == NULL)
    json_array_append_new (out, describe_member (router, &router->self));
  for (member = members == NULL ? NULL : members->members; member != NULL;
       member = member->hh.next)
    json_array_append_new (out, describe_member (router, member));
  return out;
}

static json_t *
describe_member (const struct router *router, const struct member *member)
{
  uint64_t index = member->config_index;

  if (member->instance_id == router->self.instance_id)
    index = confsync_complete_index (
        confstore_confsync (confstore_module_get (router)));
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "instance", member->instance,
      "availability_zone", member->availability_zone, "address",
      member->address, "status", status_names[member->status], "state",
      state_names[member->state], "config_index", (json_int_t)index,
      "incarnation", (json_int_t)member->incarnation);
}

static json_t *
describe_services (const struct router *router)
{
  const struct catalog_service *service;
  json_t *out = json_array ();

  for (service = router->catalog.services; service != NULL;
       service = service->hh.next)
    json_array_append_new (
        out, json_pack ("{s:s, s:I, s:o}", "service", service->name, "waiting",
                        (json_int_t)dispatch_waiting_service (router->dispatch,
                                                              service->id),
                        "upstreams", describe_upstreams (router, service)));
  return out;
}

static json_t *
describe_upstreams (const struct router *router,
                    const struct catalog_service *service)
{
  json_t *out = json_array ();
  uint32_t i;

  for (i = 0; i < service->upstream_count; i++)
    {
      const struct catalog_upstream *upstream = &service->upstreams[i];
      const struct slots_entry *entry
          = slots_find (&router->slots, upstream->id);

      json_array_append_new (
          out,
          json_pack (
              "{s:s, s:s, s:I, s:I, s:I, s:b}", "address", upstream->address,
              "availability_zone", upstream->availability_zone, "slots",
              (json_int_t)upstream->slots, "leased",
              (json_int_t)(entry == NULL ? 0 : entry->capacity), "busy",
              (json_int_t)(entry == NULL ? 0 : entry->busy), "draining",
              upstream->draining || (entry != NULL && entry->draining)));
    }
  return out;
}

static json_t *
describe_customers (const struct router *router)
{
  const struct metrics_customer_service *counts;
  json_t *out = json_array ();

  for (counts = router->metrics.customer_services; counts != NULL;
       counts = counts->hh.next)
    json_array_append_new (out, describe_customer_service (router, counts));
  return out;
}

static json_t *
describe_customer_service (const struct router *router,
                           const struct metrics_customer_service *counts)
{
  const struct catalog_customer *customer
      = catalog_customer (&router->catalog, counts->customer_id);
  const struct catalog_service *service
      = catalog_service (&router->catalog, counts->service_id);
  json_t *out = json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I}", "customer",
      customer == NULL ? "" : customer->name, "service",
      service == NULL ? "" : service->name, "accepted",
      (json_int_t)counts->accepted, "attempts", (json_int_t)counts->attempts,
      "output_units", (json_int_t)counts->output_tokens, "position",
      (json_int_t)ledger_position (router->ledger, counts->customer_id,
                                   counts->service_id));
  int outcome;

  for (outcome = 0; outcome < METRICS_OUTCOME_MAX && out != NULL; outcome++)
    json_object_set_new (out,
                         metrics_outcome_name ((enum metrics_outcome)outcome),
                         json_integer ((json_int_t)counts->outcomes[outcome]));
  return out;
}

void
admin_instances (struct admin_request *request)
{
  admin_reply (
      request->http, HTTP_OK,
      json_pack ("{s:o}", "instances", describe_members (request->router)));
}

void
admin_drain (struct admin_request *request)
{
  LOG (LOG_ADMIN_CHANGE, NULL, LOG_S ("key", "drain"),
       LOG_S ("operator", request->token->operator_name));
  admin_reply (
      request->http, 202,
      json_pack ("{s:s}", "state", state_names[MESSAGE_INSTANCE_DRAINING]));
  router_drain (request->router);
}

void
admin_healthz (struct admin_request *request)
{
  reply_text (request->http, HTTP_OK, "text/plain", "ok\n", 3);
}

void
admin_readyz (struct admin_request *request)
{
  if (router_ready (request->router))
    reply_text (request->http, HTTP_OK, "text/plain", "ready\n", 6);
  else
    reply_text (request->http, HTTP_SERVUNAVAIL, "text/plain", "not ready\n",
                10);
}

void
admin_metrics (struct admin_request *request)
{
  struct router *router = request->router;
  struct metrics_traffic traffic[MESSAGE_KIND_MAX];
  bool peers = router->module_state[ROUTER_PEERS] != NULL;
  struct metrics_text_source source
      = { .metrics = &router->metrics,
          .catalog = &router->catalog,
          .ledger = router->ledger,
          .self = { router->self.instance_id, router->self.incarnation },
          .dispatch = router->dispatch,
          .slots = &router->slots,
          .members = members_of (router),
          .traffic = traffic,
          .traffic_count = peers ? peers_traffic (router, traffic) : 0,
          .control_cpu_ns = peers ? peers_cpu_ns (router) : 0,
          .links = peers ? peers_link_count (router) : 0,
          .memory = &router->memory };
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  int error = out == NULL ? -1 : metrics_text_write (&source, out);

  if (out != NULL)
    fclose (out);
  if (error == 0 && text != NULL)
    reply_text (request->http, HTTP_OK, "text/plain; version=0.0.4", text,
                size);
  else
    reply_text (request->http, HTTP_INTERNAL, "text/plain", "", 0);
  free (text);
}

static const struct member_table *
members_of (const struct router *router)
{
  if (router->module_state[ROUTER_PEERS] == NULL)
    return NULL;
  return fleet_members (peers_fleet (router));
}

static void
reply_text (struct evhttp_request *http, int status, const char *content_type,
            const char *text, size_t size)
{
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     content_type);
  evbuffer_add (evhttp_request_get_output_buffer (http), text, size);
  evhttp_send_reply (http, status, status == HTTP_OK ? "OK" : "Unavailable",
                     NULL);
}
