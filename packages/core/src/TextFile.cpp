#include "kumquatbank/core/TextFile.h"

#include <fstream>
#include <sstream>

namespace kumquatbank {

Result<std::string> readTextFile(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return notRun(FailureCode::BadRequest, file + ": the file cannot be read", Cause::BadRequest);
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

} // namespace kumquatbank
