"""Test fleets with engines of three kinds in several data centres."""

from fulmarward_core.fleet import AcceleratorKind, EngineModel, TargetRecord

KINDS = {
    kind.name: kind
    for kind in (
        AcceleratorKind(
            name="large", memory_mb=36_000, step_factor=3.1, prefill_factor=3.2
        ),
        AcceleratorKind(
            name="middle", memory_mb=21_600, step_factor=16, prefill_factor=8.2
        ),
        AcceleratorKind(
            name="small", memory_mb=14_400, step_factor=15, prefill_factor=15
        ),
    )
}

ENGINE = EngineModel(
    model="m",
    slots=96,
    layers=80,
    layer_mb=1750,
    kv_bytes_per_token=918_000,
    activation_bytes=45_800,
    pipe_mbps=7_900,
    step_ms=0.85,
    sequence_ms=0.00594,
    context_ms_per_k=0.00796,
    prefill_tokens_per_s=252_000,
    mean_prompt_tokens=772,
    mean_answer_tokens=154,
    kinds=KINDS,
    delays_ms={("a", "b"): 0.25, ("b", "a"): 0.25},
)

#: A model on engines of three speeds, each more than twice as fast as the next.
THREE_SPEEDS = EngineModel(
    model="m",
    slots=96,
    layers=80,
    layer_mb=1750,
    kv_bytes_per_token=1_180_000,
    activation_bytes=59_000,
    pipe_mbps=11_000,
    step_ms=1.02,
    sequence_ms=0.00918,
    context_ms_per_k=0.0123,
    prefill_tokens_per_s=164_000,
    mean_prompt_tokens=764,
    mean_answer_tokens=233,
    kinds={
        kind.name: kind
        for kind in (
            AcceleratorKind(
                name="large", memory_mb=72_000, step_factor=2.4, prefill_factor=3.2
            ),
            AcceleratorKind(
                name="middle", memory_mb=43_200, step_factor=5.6, prefill_factor=2.7
            ),
            AcceleratorKind(
                name="small", memory_mb=21_600, step_factor=16, prefill_factor=8.2
            ),
        )
    },
    delays_ms={("a", "b"): 0.3, ("b", "a"): 0.3},
)


#: A fleet of the engines of `THREE_SPEEDS`, and answers a second that it usually
#: serves.
THREE_SPEEDS_FLEET = {
    "a": {"large": 4, "middle": 6, "small": 14},
    "b": {"large": 2, "middle": 9, "small": 22},
    "c": {"large": 2, "middle": 15, "small": 12},
}
THREE_SPEEDS_RATE_PER_S = 129


def make_target(name, data_centre, kind, layers=None):
    return TargetRecord(
        name=name,
        service="pool",
        address=f"10.0.0.1:{name}",
        data_centre=data_centre,
        is_leaving=False,
        slots=96,
        remaining_warmup_s=0.0,
        started_ms=0,
        kind=kind,
        layers=layers,
    )


def make_fleet(counts):
    """Return targets; `counts` maps data centres to the number of targets by kind."""
    return [
        make_target(f"{centre}-{kind}-{number}", centre, kind)
        for centre, kinds in counts.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]
