#ifndef RELAY_RELAY_H_
#define RELAY_RELAY_H_

#include "relay/call.h"
#include "relay/guard.h"
#include "relay/roster.h"

#endif  // RELAY_RELAY_H_
