/**
 * @file cutnet.h
 * Relays on the event loop of the test before the listeners of gateways for
 * their peers, and one before the store for each gateway, so that a gateway
 * can be cut off from either.  Bytes wait while a cut lasts, as packets that
 * are sent again do.
 */
#ifndef TESTS_SUPPORT_CUTNET_H
#define TESTS_SUPPORT_CUTNET_H

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CUTNET_GATEWAYS_MAX 16

enum cutnet_kind
{
  CUTNET_PEERS, /**< links that other gateways dial to one */
  CUTNET_STORE, /**< calls of one to the store */
  CUTNET_KIND_MAX
};

struct cutnet;

/** Relay of one kind before, or from, one gateway. */
struct cutnet_port
{
  struct cutnet *net;
  enum cutnet_kind kind;
  unsigned int gateway;
  uint16_t target; /**< port on 127.0.0.1; 0: not known yet */
  uint16_t port;   /**< of its own listener */
  struct evconnlistener *listener;
};

struct cutnet
{
  struct event_base *base;
  struct cutnet_port ports[CUTNET_KIND_MAX][CUTNET_GATEWAYS_MAX];
  bool cut[CUTNET_KIND_MAX][CUTNET_GATEWAYS_MAX];
  struct cutnet_conn *conns; /**< private */
};

void cutnet_init (struct cutnet *net, struct event_base *base,
                  uint16_t store_port);
void cutnet_finish (struct cutnet *net);

/** Cuts one gateway, named g-N, off, or joins it again. */
void cutnet_set (struct cutnet *net, enum cutnet_kind kind,
                 unsigned int gateway, bool cut);

/** Replaces the address in a gateway's entry in the store by its relay's; see
    storeserver.edit.
    @param user  struct cutnet. */
bool cutnet_edit_entry (void *user, const char *key, char *value, size_t size);

#endif
