# Sourced by the cases: runs case.py of the case's folder.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/oriole-gateway ]; then
    echo "target/oriole-gateway is missing: build the deploy file first"
    exit 2
fi
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 "$here/case.py"
