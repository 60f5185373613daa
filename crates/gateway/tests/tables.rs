//! Table groups of statements.

use bramblewharf_gateway::tables::group;

#[test]
fn table_group_is_the_number_in_the_schema_name() {
    for (text, found) in [
        ("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", Some(17)),
        ("select * from \"sales_4\".\"orders\"", Some(4)),
        ("select * from `sales_4`.`orders`", Some(4)),
        ("SELECT * FROM warehouse.sales_8.orders o", Some(8)),
        ("SELECT 'sales_1.orders', \"x_2.y\" /* sales_3.t */ -- sales_4.t\n FROM sales_5.t", Some(5)),
        ("SELECT o_1.day FROM sales_6.orders AS o_1", Some(6)),
        ("INSERT INTO sales_9.orders SELECT * FROM staging.batch_2", Some(9)),
        ("INSERT INTO staging.batch_2 SELECT * FROM sales_9.orders", Some(9)),
        ("UPDATE ONLY sales_10.orders SET a = 1", Some(10)),
        ("SELECT t_1.a FROM staging.x t_1", None),
        ("SELECT * FROM staging.x AS a, sales_7.y b WHERE a.z = b.z", Some(7)),
        ("SELECT * FROM staging.x GROUP BY t_1.c, t_2.d", None),
        ("VACUUM sales_3.orders", Some(3)),
        ("MERGE sales_11.orders USING staging.b", Some(11)),
        ("SELECT * FROM orders_12", None),
        ("SELECT * FROM staging.orders_12", None),
        ("SELECT * FROM sales_x.orders", None),
        ("SELECT * FROM sales_.orders", None),
        ("SELECT * FROM sales_99999999999999999999999.orders", None),
        ("SELECT * FROM sales_13.orders WHERE note = 'never closed", Some(13)),
        ("SELECT 'never closed FROM sales_14.orders", None),
        ("\u{0}\u{fffd} ;;; ...", None),
        ("", None),
    ] {
        assert_eq!(group(text.as_bytes()), found, "{text}");
    }
    assert_eq!(group(b"SELECT * FROM sales_15.t WHERE x = '\xff\xfe'"), Some(15));
}

/// Every prefix of a statement yields either the group of the whole statement or none, and a long statement
/// yields the same group as a short one.
#[test]
fn a_prefix_never_yields_a_wrong_table_group() {
    let texts = [
        "SELECT a FROM sales_17.orders, x_4.y WHERE b = 'from c_5.d' -- join e_6.f",
        "INSERT INTO x_5.sales_17 . orders VALUES (1, 'a')",
        "/* from a_1.b */ SELECT c, d_2.e FROM f_30.g JOIN h_4.i ON 1 = 1",
        "SELECT 'a_1.b'  , c FROM   staging.d  JOIN e_77.f USING (g)",
        "COPY plans_123.rooms FROM STDIN",
        "ANALYZE plans_9.rooms",
    ];
    for text in texts {
        let all = bramblewharf_gateway::tables::group(text.as_bytes());
        assert!(all.is_some(), "{text}");
        for at in 0..=text.len() {
            let part = bramblewharf_gateway::tables::group_of_prefix(&text.as_bytes()[..at]);
            assert!(part.is_none() || part == all, "{part:?} of {}", &text[..at]);
        }
        let long = format!("{text}\n{}", "/* rows */ ".repeat(1000));
        assert_eq!(bramblewharf_gateway::tables::group(long.as_bytes()), all, "{text}");
        let late = format!("{}\n{text}", "/* rows */ ".repeat(1000));
        assert_eq!(bramblewharf_gateway::tables::group(late.as_bytes()), all, "{text}");
    }
}
