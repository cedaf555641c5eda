#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/error.h"
#include "base/id.h"
#include "base/name_table.h"
#include "base/random.h"
#include "base/store.h"
#include "base/time.h"

#endif  // BASE_BASE_H_
