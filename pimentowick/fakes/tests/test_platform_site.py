from pimentowick.fakes import platform_site


def test_processes_never_share_a_block_of_ports():
    # Guards against a port that is free and then taken by another run of the tests.
    cycles = [platform_site._cycle_ports() for _ in range(3)]
    blocks = {next(cycle) // platform_site.PORTS_PER_BLOCK for cycle in cycles}
    assert len(blocks) == 3
