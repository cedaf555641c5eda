#ifndef NET_NET_H_
#define NET_NET_H_

#include "net/answer.h"
#include "net/base64.h"
#include "net/clock.h"
#include "net/event_log.h"
#include "net/http.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/peer_bus.h"
#include "net/settings.h"
#include "net/store_client.h"

#endif  // NET_NET_H_
