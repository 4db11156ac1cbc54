#pragma once

#include <azurecross_tables/azurecross_tables.h>

#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** @returns the row that an argument such as `routes/chat` names. */
std::optional<RowName>
ParseRowArgument(const std::string& aArgument);

/**
 * Applies `field=value` arguments to a row. A value that is JSON is taken as
 * such, another one as a text; an empty value removes the field, which then
 * has its default.
 */
Result<RowChange>
EditRow(const RowName& aRow,
        const std::optional<std::string>& aText,
        const std::vector<std::string>& aFields);

/** @returns the changes that write a document's rows, and delete all others
 * if `aPrunes`. */
std::vector<RowChange>
MakeDocumentChanges(const TableRows& aRows,
                    const TableDocument& aDocument,
                    bool aPrunes);

} // namespace azurecross
