#ifndef RETRY_RETRY_H_
#define RETRY_RETRY_H_

#include "retry/response_timeout.h"

#endif  // RETRY_RETRY_H_
