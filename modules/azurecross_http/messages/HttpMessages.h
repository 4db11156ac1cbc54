#pragma once

#include <map>
#include <string>
#include <string_view>

namespace azurecross {

/** Orders header names without regard to case, as HTTP does. */
struct HeaderNameLess
{
  using is_transparent = void;

  bool operator()(std::string_view aLeft, std::string_view aRight) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/** A whole request. */
struct HttpRequest
{
  std::string method_ = "GET";
  /** Path and query. */
  std::string target_ = "/";
  HttpHeaders headers_;
  std::string body_;

  /** @returns the target up to the query. */
  std::string_view GetPath() const;
  /** @returns the decoded value of a query parameter, or an empty text. */
  std::string FindQueryValue(std::string_view aName) const;
  /** @returns the header's value, or an empty text. */
  std::string_view FindHeader(std::string_view aName) const;
};

/** A whole response. */
struct HttpResponse
{
  unsigned status_ = 200;
  HttpHeaders headers_;
  std::string body_;

  /** @returns the header's value, or an empty text. */
  std::string_view FindHeader(std::string_view aName) const;
};

/** @returns whether HTTP defines the class of this status of a final answer.
 * An interim answer is not a final one. A server that upgrades the protocol
 * unasked sends bytes that are no answer. */
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast;
}

/** @returns a response with a JSON body. */
HttpResponse
MakeJsonResponse(unsigned aStatus, std::string aBody);

} // namespace azurecross
