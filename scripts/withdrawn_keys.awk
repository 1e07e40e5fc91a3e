# Finds operations of a client whose key belonged to no account that were served, and refusals (NOAUTH) of one whose key
# belonged to an account. apply_ms: the time in which a version takes effect on all hosts. An open transaction may go on for
# grace_ms more. Input: the emulator's withdrawals, then the clients' answers; times in ms.
FILENAME == ARGV[1] { from[$1, ++count[$1]] = $2; to[$1, count[$1]] = $3; next }
{
    refusable = 0
    for (n = 1; n <= count[$1]; n++) {
        limit = from[$1, n] + apply_ms + ($4 == "transaction" ? grace_ms : 0)
        if ($4 != "refused" && $2 > limit && (to[$1, n] < 0 || $3 < to[$1, n])) {
            print "violation: " $1 " served at " $2 " ms, withdrawn at " from[$1, n] " ms (" $4 ")"
            failed = 1
        }
        if ($3 >= from[$1, n] && (to[$1, n] < 0 || $2 <= to[$1, n] + apply_ms))
            refusable = 1
    }
    if ($4 == "refused" && !refusable) {
        print "violation: " $1 " refused at " $2 " ms, although it belonged to an account"
        failed = 1
    }
    answers[$4]++
}
END {
    print "keys: " answers["served"] + 0 " served, " answers["transaction"] + 0 " in transactions, " answers["refused"] + 0 " refused"
    exit failed
}
