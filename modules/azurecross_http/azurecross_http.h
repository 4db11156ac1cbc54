#pragma once

/**
 * A small HTTP/1.1 server and client over Beast for everything that is not the
 * token path: the operations port, the platform's services, operator tools and
 * stand-ins. Beast itself stays in the source files.
 */

#include "client/HttpClient.h"
#include "client/KeepAlive.h"
#include "messages/Base64.h"
#include "messages/Compression.h"
#include "messages/HttpMessages.h"
#include "server/HttpServer.h"
