#include "cli/keyfile.h"

#include "cli/command.h"
#include "core/secret.h"
#include "httpclient/crypto.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>

namespace apricotwing {

namespace {

constexpr mode_t OwnerOnly = S_IRUSR | S_IWUSR;
constexpr mode_t OthersMask = S_IRWXG | S_IRWXO;

bool isAccessibleByOthers(const std::string &Path) {
  struct stat Status {};
  return stat(Path.c_str(), &Status) == 0 && (Status.st_mode & OthersMask) != 0;
}

} // namespace

std::string readKeyFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    throw UsageError("cannot read the key file " + Path,
                     "give the path of a file that holds the key");
  if (isAccessibleByOthers(Path))
    throw UsageError("other users can read the key file " + Path,
                     "run: chmod 600 " + Path);
  std::string Key =
      checkedKey(std::string(std::istreambuf_iterator(Input), {}));
  if (Key.empty())
    throw UsageError("the key file " + Path + " holds no key",
                     "write the key to the file, without quotes");
  return Key;
}

std::string checkedKey(std::string Key) {
  while (!Key.empty() && std::isspace(static_cast<unsigned char>(Key.back())))
    Key.pop_back();
  const bool IsPlain =
      std::all_of(Key.begin(), Key.end(),
                  [](unsigned char Char) { return std::isgraph(Char); });
  if (!IsPlain)
    throw UsageError("the key holds a space or a control character",
                     "provide the text of the key without other characters");
  return Key;
}

// Two random ids have 256 bits together.
std::string generateKey() {
  return std::string(KeyPrefix) + randomId() + randomId();
}

void writeKeyFile(const std::string &Path, const std::string &Key) {
  const int File =
      open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
  if (File < 0)
    throw UsageError("cannot create the key file " + Path,
                     "give the path of a file that does not exist yet");
  const ssize_t Written = write(File, Key.data(), Key.size());
  const bool IsComplete =
      Written == static_cast<ssize_t>(Key.size()) && fsync(File) == 0;
  close(File);
  if (IsComplete)
    return;
  unlink(Path.c_str());
  throw UsageError("cannot write the key file " + Path,
                   "check the free space and the permissions of its directory");
}

} // namespace apricotwing
