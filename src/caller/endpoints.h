#pragma once

#include "caller/requesthandler.h"
#include <httplib.h>

#include <string_view>

namespace Kumquatpick {

// Handlers for endpoints that are answered from the state of this node and call no backend server.

void answerEntries(ServerContext&, const RequestLine&, httplib::Response&);
void answerKeys(ServerContext&, const httplib::Request&, httplib::Response&);
void answerRequest(ServerContext&, std::string_view key, const httplib::Request&, httplib::Response&);
void answerReady(ServerContext&, httplib::Response&);
void answerMetrics(ServerContext&, httplib::Response&);

void answerConfig(ServerContext&, httplib::Response&);
void answerPublish(ServerContext&, const httplib::Request&, httplib::Response&);
void answerStatus(ServerContext&, httplib::Response&);
void answerExplain(ServerContext&, std::string_view requestId, httplib::Response&);

} // namespace Kumquatpick
