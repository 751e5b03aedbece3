from berylnotch.util.metrics import Label, Metrics


def test_gauge_without_a_value_is_left_out():
    metrics = Metrics()
    metrics.gauge("age_seconds", 0.25)
    assert "age_seconds 0.25" in metrics.render()
    metrics.gauge("age_seconds", None)
    metrics.gauge("never_seconds", None)
    assert "seconds" not in metrics.render()


def test_label_values_are_escaped():
    metrics = Metrics()
    metrics.count("requests_total", Label("route", 'a"b\\c\nd'))
    assert metrics.render() == 'requests_total{route="a\\"b\\\\c\\nd"} 1\n'
