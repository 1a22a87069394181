#ifndef CELERYBEAM_CTL_PLATFORMSTORE_H
#define CELERYBEAM_CTL_PLATFORMSTORE_H

#include <memory>

#include "ctl/httpclient.h"
#include "ctl/taskloop.h"
#include "framework/storehooks.h"

namespace celerybeam::ctl {

/// Returns hooks that call the platform's key-value service; only Get and Put
/// are set. The loop must outlive the hooks.
StoreHooks platformStore(const std::shared_ptr<HttpClient> &Client,
                         TaskLoop &Loop);

} // namespace celerybeam::ctl

#endif
