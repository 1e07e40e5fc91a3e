# Finds answers NODB for databases that had a route: asked for later than apply_ms after the end of each time without a
# route, or answered before its beginning. Input: the emulator's absences, then the clients' answers; times in ms.
FILENAME == ARGV[1] { from[$1, ++count[$1]] = $2; to[$1, count[$1]] = $3; next }
{
    allowed = 0
    for (n = 1; n <= count[$1]; n++)
        if ($3 >= from[$1, n] && (to[$1, n] < 0 || $2 <= to[$1, n] + apply_ms))
            allowed = 1
    if (!allowed) {
        print "violation: NODB for " $1 ", which had a route, asked for at " $2 " ms"
        failed = 1
    }
}
END { exit failed }
