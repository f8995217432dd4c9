"""What a job is, how far it is and how it is stored; imports no other folder."""
