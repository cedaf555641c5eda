#ifndef INGRESS_INGRESS_H_
#define INGRESS_INGRESS_H_

#include "ingress/directory.h"
#include "ingress/peer_call.h"

#endif  // INGRESS_INGRESS_H_
