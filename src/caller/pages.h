#pragma once

#include "caller/serving.h"
#include <httplib.h>

#include <string_view>

namespace Kumquatpick {

// Handlers for endpoints that are answered from the state of this node and call no backend server.

void answerEntries(ServeContext&, const RequestLine&, httplib::Response&);
void answerKeys(ServeContext&, const httplib::Request&, httplib::Response&);
void answerRequest(ServeContext&, std::string_view key, const httplib::Request&, httplib::Response&);
void answerReady(ServeContext&, httplib::Response&);
void answerMetrics(ServeContext&, httplib::Response&);

void answerConfig(ServeContext&, httplib::Response&);
void answerPublish(ServeContext&, const httplib::Request&, httplib::Response&);
void answerStatus(ServeContext&, httplib::Response&);
void answerExplain(ServeContext&, std::string_view requestId, httplib::Response&);

} // namespace Kumquatpick
