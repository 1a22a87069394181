#ifndef CELERYBEAM_CTL_PLATFORMSTORE_H
#define CELERYBEAM_CTL_PLATFORMSTORE_H

#include <memory>

#include "ctl/httpclient.h"
#include "ctl/taskloop.h"
#include "framework/storehooks.h"

namespace celerybeam::ctl {

/// The platform's key-value service as the commands use it: Get and Put only.
/// The loop must outlive the hooks.
StoreHooks platformStore(const std::shared_ptr<HttpClient> &Client,
                         TaskLoop &Loop);

} // namespace celerybeam::ctl

#endif
