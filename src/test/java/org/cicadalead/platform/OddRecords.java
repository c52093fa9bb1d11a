package org.cicadalead.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Entries of the registry that name no worker to use, and the values of which they consist. */
final class OddRecords {
    /** An entry that names a worker; its address refuses connections. */
    static final String VALID_HOST = "{\"service\":\"planning\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone\","
            + "\"version\":\"1\",\"slots\":4,\"state\":\"ready\",\"coldRemainingMs\":0,\"seqNo\":7,\"born\":1,"
            + "\"clockMs\":1,\"capacity\":{\"cpu\":4000,\"memMb\":8000,\"gpu\":0},\"labels\":[\"a\",\"r1\"]}";

    private static final int DEEP = 60_000;
    private static final String DIGITS = "9".repeat(900);
    private static final List<String> ODD_ADDRESSES = List.of(
            "127.0.0.1:0",
            "127.0.0.1:70000",
            "127.0.0.1:99999999999",
            "127.0.0.1:" + DIGITS,
            "1.2.3.4.5:80",
            "1.2.3:80",
            "256.0.0.1:80",
            "999.999.999.999:80",
            "....:80",
            "127.0.0.1:",
            "127.0.0.1:-1",
            ":80",
            "",
            "127.0.0.1:80/x",
            "a b:80",
            "[::1]:80");

    private OddRecords() {}

    /** Returns a text that nests arrays. */
    static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    private static String withField(String name, String value) {
        return VALID_HOST.replaceFirst(
                "\"" + name + "\":(\"[^\"]*\"|\\[[^]]*]|\\{[^}]*}|[0-9]+)", "\"" + name + "\":" + value);
    }

    /** Returns entries of which each has one fault, by the name of the fault. */
    static Map<String, String> oddHosts() {
        Map<String, String> odd = new LinkedHashMap<>();
        odd.put("no JSON", "{");
        odd.put("text", "\"worker\"");
        odd.put("array", "[" + VALID_HOST + "]");
        odd.put("null", "null");
        odd.put("number of a million digits", "9".repeat(1_000_000));
        odd.put("nested deeply", nested(DEEP));
        odd.put("nested in an unknown field", VALID_HOST.replaceFirst("\\{", "{\"other\":" + nested(DEEP) + ","));
        for (String address : ODD_ADDRESSES) {
            odd.put("address " + address, withField("address", "\"" + address + "\""));
        }
        for (String field : List.of("service", "address", "zone", "state")) {
            for (String value : List.of("7", "true", "null", "[]", "{}", "\"\"", nested(900))) {
                odd.put(field + " " + value, withField(field, value));
            }
        }
        odd.put("state gone", withField("state", "\"gone\""));
        for (String field : List.of("cpu", "memMb", "gpu", "born", "clockMs", "slots", "seqNo", "coldRemainingMs")) {
            for (String value : List.of(
                    "\"7\"",
                    "true",
                    "[]",
                    "{}",
                    "9223372036854775808",
                    DIGITS,
                    "1e999999999",
                    "-1",
                    "-9223372036854775809",
                    nested(900))) {
                odd.put(field + " " + value, withField(field, value));
            }
        }
        odd.put("born half", withField("born", "1.5"));
        odd.put("born absent value", withField("born", "null"));
        for (String value : List.of("7", "\"a\"", "{\"a\":1}", "[7]", "[[]]", "[null]", nested(900))) {
            odd.put("labels " + value, withField("labels", value));
        }
        for (String value : List.of("7", "\"a\"", "[4000,8000,0]", "null", "{}", "{\"cpu\":1}", nested(900))) {
            odd.put("capacity " + value, withField("capacity", value));
        }
        return odd;
    }

    /** Returns texts that read as a JSON value of some type, or as none. */
    static List<String> values() {
        List<String> values = new ArrayList<>(List.of(
                "7",
                "0",
                "-1",
                "1.5",
                "true",
                "null",
                "\"\"",
                "\"text\"",
                "[]",
                "{}",
                "[0]",
                "[[0]]",
                "{\"a\":{}}",
                "9007199254740992",
                "9223372036854775808",
                "-9223372036854775809",
                "1e999999999",
                "1e-999999999",
                "{"));
        values.add(DIGITS);
        values.add(nested(900));
        values.add(nested(10_000));
        return values;
    }
}
