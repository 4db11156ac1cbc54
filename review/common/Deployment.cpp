#include "Deployment.h"

namespace review {

std::string
FormatRoute(const RouteText& aRoute)
{
  return R"({"name":")" + aRoute.name_ + R"(","host":")" + kHost +
         R"(","prefix":")" + aRoute.prefix_ + R"(","kind":")" + aRoute.kind_ +
         R"(","service":")" + aRoute.service_ + R"(","timeoutMs":)" +
         std::to_string(aRoute.timeoutMs_) + R"(,"goalMs":)" +
         std::to_string(aRoute.goalMs_) +
         R"(,"gapTargetMs":180,"priority":2,)" + R"("maxAttempts":)" +
         std::to_string(aRoute.attempts_) + R"(,"sticky":)" +
         (aRoute.kind_ == "streaming" ? "true" : "false") +
         R"(,"public":false,"resumable":false})";
}

std::string
FormatConfiguration(unsigned aVersion, const std::string& aRoutes)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         aRoutes +
         R"(],"services":[{"name":"desk","maxConns":100,)"
         R"("healthPath":"/healthz"},{"name":"model","maxConns":272,)"
         R"("healthPath":"/healthz","engine":{"slots":24,"kvCapacity":34371,)"
         R"("kvTokenBytes":35136,"linkMbps":5100.0,"moves":true,)"
         R"("backups":true,"stride":4,"handleS":8}}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":")" +
         std::string(kCustomer) + R"(","apiKeys":[")" + kApiKey + R"("]}]})";
}

std::string
FormatRegistration(const std::string& aService,
                   const Endpoint& aAddress,
                   const std::string& aZone,
                   const std::string& aState,
                   unsigned aSlots)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress.Format() +
         R"(","zone":")" + aZone + R"(","version":1,"slots":)" +
         std::to_string(aSlots) + R"(,"state":")" + aState +
         R"(","coldLeftMs":0,"sequence":1,"born":1700000000000})";
}

std::string
FormatRequest(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aAttemptId,
              int aDeadlineMs,
              const std::string& aHeaders,
              const std::string& aBody)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nAttempt-Id: " + aAttemptId +
                     "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) +
                     "\r\nApi-Key: " + kApiKey + "\r\n" + aHeaders;
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

std::string
FormatSeal(const HttpMessage& aRequest)
{
  return "Attempt-Id: " + aRequest.Find("attempt-id") +
         "\r\nReplica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

} // namespace review
