#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/authorize.h"
#include "config/change.h"
#include "config/follower.h"
#include "config/head.h"
#include "config/limits.h"
#include "config/objects.h"
#include "config/proposer.h"
#include "config/state.h"

#endif  // CONFIG_CONFIG_H_
