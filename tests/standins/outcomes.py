from standins.load import Outcome


def outcome(ticket='', ran='ran'):
    return Outcome(
        caller_class='orders',
        echo='a',
        key='key-1',
        ticket=ticket,
        status=200,
        ran=ran,
        error='',
        sent_s=0,
        ended_s=1,
    )
