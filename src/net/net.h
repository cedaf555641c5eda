#ifndef NET_NET_H_
#define NET_NET_H_

#include "net/http.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/settings.h"

#endif  // NET_NET_H_
