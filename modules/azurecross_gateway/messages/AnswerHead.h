#pragma once

#include <string>
#include <string_view>

namespace azurecross {

/** The head of an answer to a caller, as text. */
class AnswerHead
{
public:
  explicit AnswerHead(unsigned aStatus);

  AnswerHead& Add(std::string_view aName, std::string_view aValue);

  /** @returns the head with the blank line that ends it. */
  std::string Finish();

private:
  std::string text_;
};

} // namespace azurecross
