#ifndef RELAY_RELAY_H_
#define RELAY_RELAY_H_

#include "relay/batch_filter.h"
#include "relay/call.h"
#include "relay/relay_pool.h"

#endif  // RELAY_RELAY_H_
