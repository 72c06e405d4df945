#!/bin/sh
# Builds the stand-ins and scripts of cases 6 to 10. They need the standard library only.
set -e
cd "$(dirname "$0")/tools-2"
go build -o ../../target/review-2/cases .
